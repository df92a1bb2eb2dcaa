package wire

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/gentianrail/gentianrail/catalogue"
	"github.com/gentianrail/gentianrail/evacuation"
	"github.com/gentianrail/gentianrail/fault"
	"github.com/gentianrail/gentianrail/internal/wire/pb"
	"github.com/gentianrail/gentianrail/state"
)

func decodeDuration(n int64) time.Duration { return time.Duration(n) }

// MarshalState returns the bytes of a snapshot of the state machine.
func MarshalState(c state.Contents) ([]byte, error) {
	m := &pb.State{
		Now:       encodeTime(c.Now),
		Revision:  c.Revision,
		NextJob:   c.NextJob,
		Forgotten: encodeTime(c.BurnPrunedAt),
	}
	for _, e := range c.Entries {
		m.Entries = append(m.Entries, EncodeEntry(e))
	}
	for _, d := range c.Deleted {
		m.DeletedVersions = append(m.DeletedVersions, &pb.DeletedVersion{Name: d.Name, Version: d.Version})
	}
	for _, r := range c.Changes {
		m.Changes = append(m.Changes, &pb.Change{ChangeId: r.ID, Revision: r.Revision, Version: r.Version, At: encodeTime(r.At)})
	}
	for _, w := range c.Workers {
		m.Workers = append(m.Workers, EncodeWorker(w))
	}
	for _, j := range c.Jobs {
		m.Jobs = append(m.Jobs, EncodeJob(j))
	}
	for _, k := range c.Claims {
		m.Claims = append(m.Claims, EncodeClaim(k))
	}
	for _, b := range c.Burn {
		m.Burn = append(m.Burn, EncodeBurnCount(b))
	}
	for _, s := range c.BurnSources {
		m.BurnSources = append(m.BurnSources, &pb.BurnSource{Source: s.Name, Sequence: s.Sequence, Seen: encodeTime(s.AppliedAt)})
	}
	m.Queues = EncodeQueueTable(c.Queues)
	for _, s := range c.Submissions {
		m.Submissions = append(m.Submissions, EncodeSubmission(s))
	}
	for _, z := range c.Evacuations {
		m.Evacuations = append(m.Evacuations, &pb.EvacuationZone{
			Name: z.Name, Evacuated: z.Evacuated, ChangedAt: encodeTime(z.ChangedAt), Revision: z.Revision,
		})
	}
	if c.Silence.Term > 0 {
		m.Silence = encodeSilence(c.Silence)
	}
	return proto.MarshalOptions{Deterministic: true}.Marshal(m)
}

// UnmarshalState decodes the bytes of MarshalState.
func UnmarshalState(data []byte) (state.Contents, error) {
	var m pb.State
	if err := proto.Unmarshal(data, &m); err != nil {
		return state.Contents{}, fault.Wrap(fault.DataDamaged, err, "decode a snapshot")
	}
	c := state.Contents{
		Now:          decodeTime(m.GetNow()),
		Revision:     m.GetRevision(),
		NextJob:      m.GetNextJob(),
		BurnPrunedAt: decodeTime(m.GetForgotten()),
		Burn:         decodeBurnCounts(m.GetBurn()),
	}
	for _, e := range m.GetEntries() {
		c.Entries = append(c.Entries, DecodeEntry(e))
	}
	for _, d := range m.GetDeletedVersions() {
		c.Deleted = append(c.Deleted, catalogue.DeletedVersion{Name: d.GetName(), Version: d.GetVersion()})
	}
	for _, r := range m.GetChanges() {
		c.Changes = append(c.Changes, catalogue.AcceptedChange{
			ID: r.GetChangeId(), Revision: r.GetRevision(), Version: r.GetVersion(), At: decodeTime(r.GetAt()),
		})
	}
	for _, w := range m.GetWorkers() {
		c.Workers = append(c.Workers, DecodeWorker(w))
	}
	for _, j := range m.GetJobs() {
		c.Jobs = append(c.Jobs, DecodeJob(j))
	}
	for _, k := range m.GetClaims() {
		c.Claims = append(c.Claims, DecodeClaim(k))
	}
	for _, s := range m.GetBurnSources() {
		c.BurnSources = append(c.BurnSources, state.BurnSource{Name: s.GetSource(), Sequence: s.GetSequence(), AppliedAt: decodeTime(s.GetSeen())})
	}
	c.Queues = DecodeQueueTable(m.GetQueues())
	for _, e := range m.GetSubmissions() {
		s, err := DecodeSubmission(e)
		if err != nil {
			return c, err
		}
		c.Submissions = append(c.Submissions, s)
	}
	for _, z := range m.GetEvacuations() {
		c.Evacuations = append(c.Evacuations, evacuation.Zone{
			Name: z.GetName(), Evacuated: z.GetEvacuated(), ChangedAt: decodeTime(z.GetChangedAt()), Revision: z.GetRevision(),
		})
	}
	c.Silence = decodeSilence(m.GetSilence())
	return c, nil
}
