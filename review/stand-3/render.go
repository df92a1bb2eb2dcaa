package main

import (
	"fmt"
	"sort"
	"strconv"
	"strings"
)

// scope is a place in the values of a settings template.
type scope struct {
	root  any
	item  any
	key   string
	last  bool
	inner bool
}

// lookup returns the value at a dotted path, first in the current entry.
func (s scope) lookup(path string) any {
	switch path {
	case ".":
		return s.item
	case "@":
		return s.key
	case ",":
		if s.inner && !s.last {
			return ","
		}
		return nil
	}
	if v := descend(s.item, path); v != nil {
		return v
	}
	return descend(s.root, path)
}

func descend(v any, path string) any {
	for _, part := range strings.Split(path, ".") {
		switch c := v.(type) {
		case map[string]any:
			v = c[part]
		case []any:
			i, err := strconv.Atoi(part)
			if err != nil || i >= len(c) {
				return nil
			}
			v = c[i]
		default:
			return nil
		}
	}
	return v
}

// render fills in a settings template of the deploy folder.
func render(text string, s scope) string {
	var out strings.Builder
	for {
		start := strings.Index(text, "{{")
		if start < 0 {
			out.WriteString(text)
			return out.String()
		}
		end := start + strings.Index(text[start:], "}}")
		out.WriteString(text[:start])
		tag := text[start+2 : end]
		text = text[end+2:]
		if tag[0] != '#' && tag[0] != '^' {
			if v := s.lookup(tag); v != nil {
				fmt.Fprint(&out, v)
			}
			continue
		}
		closing := "{{/" + tag[1:] + "}}"
		at := strings.Index(text, closing)
		body := text[:at]
		text = text[at+len(closing):]
		out.WriteString(renderSection(tag[0] == '^', body, s.lookup(tag[1:]), s))
	}
}

func renderSection(inverted bool, body string, v any, s scope) string {
	if inverted {
		if v == nil || v == false {
			return render(body, s)
		}
		return ""
	}
	var out strings.Builder
	switch c := v.(type) {
	case nil:
	case []any:
		for i, item := range c {
			out.WriteString(render(body, scope{root: s.root, item: item, key: strconv.Itoa(i), last: i == len(c)-1, inner: true}))
		}
	case map[string]any:
		keys := make([]string, 0, len(c))
		for k := range c {
			keys = append(keys, k)
		}
		sort.Strings(keys)
		for i, k := range keys {
			out.WriteString(render(body, scope{root: s.root, item: c[k], key: k, last: i == len(keys)-1, inner: true}))
		}
	default:
		if v != false {
			out.WriteString(render(body, s))
		}
	}
	return out.String()
}
