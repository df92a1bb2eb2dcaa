package emulator

import (
	"fmt"
	"time"

	"github.com/go-json-experiment/json"

	"github.com/gentianrail/gentianrail/internal/unit"
)

type scenarioDocument struct {
	Name     string           `json:"name"`
	Lead     unit.Duration    `json:"lead"`
	Length   unit.Duration    `json:"length"`
	Drain    unit.Duration    `json:"drain"`
	Workers  workersDocument  `json:"workers"`
	Images   imagesDocument   `json:"images"`
	Services servicesDocument `json:"services"`
	Batch    jobsDocument     `json:"batch"`
	Short    jobsDocument     `json:"short"`
	Bursts   []burstDocument  `json:"bursts"`
	Losses   []lossDocument   `json:"losses"`
}

type workersDocument struct {
	Count   int     `json:"count"`
	CPU     []int64 `json:"cpu_millis"`
	Memory  int64   `json:"memory_mib"`
	PerRack int     `json:"per_rack"`
}

type imagesDocument struct {
	Service    int     `json:"service"`
	Batch      int     `json:"batch"`
	Resources  int     `json:"resources"`
	HeavyShare float64 `json:"heavy_share"`
	Strength   float64 `json:"strength"`
}

type spreadDocument struct {
	Mean   float64 `json:"mean"`
	StdDev float64 `json:"std_dev"`
	Max    float64 `json:"max"`
}

type servicesDocument struct {
	AtStart      int            `json:"at_start"`
	Rate         float64        `json:"rate"`
	Width        spreadDocument `json:"width"`
	CPU          spreadDocument `json:"cpu_millis"`
	Memory       spreadDocument `json:"memory_mib"`
	Stay         spreadDocument `json:"stay_s"`
	Demand       float64        `json:"demand"`
	Swing        float64        `json:"swing"`
	SwingPeriod  unit.Duration  `json:"swing_period"`
	TailTarget   unit.Duration  `json:"tail_target"`
	SpreadShare  float64        `json:"spread_share"`
	Startup      unit.Duration  `json:"startup"`
	FailureShare float64        `json:"failure_share"`
	Value        float64        `json:"value"`
}

type jobsDocument struct {
	Rate          float64        `json:"rate"`
	Steps         spreadDocument `json:"steps"`
	Width         spreadDocument `json:"width"`
	CPU           spreadDocument `json:"cpu_millis"`
	Memory        spreadDocument `json:"memory_mib"`
	Work          spreadDocument `json:"work_s"`
	Batch         bool           `json:"batch"`
	Checkpointing float64        `json:"checkpointing"`
	FailureShare  float64        `json:"failure_share"`
	PoisonShare   float64        `json:"poison_share"`
	CancelShare   float64        `json:"cancel_share"`
	EstimateError float64        `json:"estimate_error"`
	Slack         float64        `json:"slack"`
	Target        unit.Duration  `json:"target"`
	Priority      int            `json:"priority"`
	MaxAttempts   int            `json:"max_attempts"`
	Value         float64        `json:"value"`
}

type burstDocument struct {
	At     unit.Duration `json:"at"`
	For    unit.Duration `json:"for"`
	Batch  float64       `json:"batch"`
	Short  float64       `json:"short"`
	Cancel float64       `json:"cancel"`
}

type lossDocument struct {
	Kind  string        `json:"kind"`
	At    unit.Duration `json:"at"`
	For   unit.Duration `json:"for"`
	Share float64       `json:"share"`
}

var _lossKinds = map[string]LossKind{"workers": LostWorkers, "controllers": LostControllers, "orders": LateOrders}

// ParseScenario decodes a scenario. It rejects unknown fields.
func ParseScenario(data []byte) (Scenario, error) {
	var d scenarioDocument
	if err := json.Unmarshal(data, &d, json.RejectUnknownMembers(true)); err != nil {
		return Scenario{}, fmt.Errorf("decode the scenario: %w", err)
	}
	s := Scenario{
		Name: d.Name, Lead: time.Duration(d.Lead), Length: time.Duration(d.Length), Drain: time.Duration(d.Drain),
		Workers: Workers{Count: d.Workers.Count, CPU: d.Workers.CPU, Memory: d.Workers.Memory, PerRack: d.Workers.PerRack},
		Images: Images{
			Service: d.Images.Service, Batch: d.Images.Batch, Resources: d.Images.Resources, HeavyShare: d.Images.HeavyShare, Strength: d.Images.Strength,
		},
		Services: d.Services.decode(), Batch: d.Batch.decode(), Short: d.Short.decode(),
	}
	for _, b := range d.Bursts {
		s.Bursts = append(s.Bursts, Burst{At: time.Duration(b.At), For: time.Duration(b.For), Batch: b.Batch, Short: b.Short, Cancel: b.Cancel})
	}
	for i, l := range d.Losses {
		k, ok := _lossKinds[l.Kind]
		if !ok {
			return s, fmt.Errorf("loss %d: found kind %q, allowed are workers, controllers and orders", i, l.Kind)
		}
		s.Losses = append(s.Losses, Loss{Kind: k, At: time.Duration(l.At), For: time.Duration(l.For), Share: l.Share})
	}
	return s, s.Validate()
}

func (d spreadDocument) decode() Spread { return Spread(d) }

func (d *servicesDocument) decode() Services {
	return Services{
		AtStart: d.AtStart, Rate: d.Rate, Width: d.Width.decode(), CPU: d.CPU.decode(), Memory: d.Memory.decode(), Stay: d.Stay.decode(),
		Demand: d.Demand, Swing: d.Swing, SwingPeriod: time.Duration(d.SwingPeriod), TailTarget: time.Duration(d.TailTarget),
		SpreadShare: d.SpreadShare, Startup: time.Duration(d.Startup), FailureShare: d.FailureShare, Value: d.Value,
	}
}

func (d *jobsDocument) decode() Jobs {
	return Jobs{
		Rate: d.Rate, Steps: d.Steps.decode(), Width: d.Width.decode(), CPU: d.CPU.decode(), Memory: d.Memory.decode(), Work: d.Work.decode(),
		Batch: d.Batch, Checkpointing: d.Checkpointing, FailureShare: d.FailureShare, PoisonShare: d.PoisonShare, CancelShare: d.CancelShare,
		EstimateError: d.EstimateError, Slack: d.Slack, Target: time.Duration(d.Target), Priority: d.Priority, MaxAttempts: d.MaxAttempts, Value: d.Value,
	}
}
