// Package version reports the version of the programs.
package version

import "runtime/debug"

const _release = "0.1.0"

// String returns the release and, if the build recorded it, the revision of the
// source.
func String() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return _release
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" && len(s.Value) >= 12 {
			return _release + "+" + s.Value[:12]
		}
	}
	return _release
}
