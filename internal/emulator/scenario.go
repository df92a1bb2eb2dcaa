// Package emulator plays loads against the deciding packages in virtual time.
//
// An emulation has workers that run service tasks and batch tasks, a leader that
// places them with the scheduling decisions that ship, and callers that submit
// work and judge what they get. The workers follow the model of interference that
// docs/design/07-interference.md describes: the tail latency of a service task
// follows its demand and the CPU that batch tasks use beside it, by an amount that
// depends on the pair of images, and usage statistics show it late.
//
// Equal scenarios, seeds and policies give equal results. Policies that are
// compared under one seed get the same submissions and the same losses.
package emulator

import (
	"fmt"
	"time"
)

// Scenario describes a deployment, its load and its losses.
type Scenario struct {
	Name     string
	Lead     time.Duration // before the callers' load begins; the services of Services.AtStart are submitted
	Length   time.Duration // of the callers' load
	Drain    time.Duration // after the load, until the remaining submissions count as failed
	Workers  Workers
	Images   Images
	Services Services
	Batch    Jobs
	Short    Jobs
	Bursts   []Burst
	Losses   []Loss
}

// Workers describes a pool of workers.
type Workers struct {
	Count   int
	CPU     []int64 // thousandths of a core; the sizes repeat over the workers
	Memory  int64   // MiB, for the first size; proportional to CPU for the others
	PerRack int
}

// Images describes which batch tasks interfere with which service tasks. Each
// heavy batch image uses one of several shared resources of a worker, and each
// service image is sensitive to one or two of them.
type Images struct {
	Service    int
	Batch      int
	Resources  int     // shared resources, such as caches or memory bandwidth
	HeavyShare float64 // of the batch images that use a shared resource
	Strength   float64 // mean interference coefficient of a pair that shares a resource
}

// Services describes long-running submissions, whose tasks serve users.
type Services struct {
	AtStart      int     // submissions before the load
	Rate         float64 // submissions per second
	Width        Spread  // tasks
	CPU          Spread  // thousandths of a core per task
	Memory       Spread  // MiB per task
	Stay         Spread  // seconds until the caller cancels the submission
	Demand       float64 // mean share of the requested CPU that a task uses
	Swing        float64 // share by which the demand varies
	SwingPeriod  time.Duration
	TailTarget   time.Duration
	SpreadShare  float64 // of the submissions with a limit of tasks per worker
	Startup      time.Duration
	FailureShare float64 // of the tasks that fail once in their life
	Value        float64 // of one submission in one interval of _serviceInterval
}

// Jobs describes submissions that complete.
type Jobs struct {
	Rate          float64 // submissions per second
	Steps         Spread
	Width         Spread        // tasks per step
	CPU           Spread        // thousandths of a core per task
	Memory        Spread        // MiB per task
	Work          Spread        // seconds per task at full speed
	Batch         bool          // the tasks use unreserved CPU and have an image
	Checkpointing float64       // share of the submissions that save progress
	FailureShare  float64       // of the runs that fail
	PoisonShare   float64       // of the submissions that can never be done
	CancelShare   float64       // of the submissions that their callers cancel
	EstimateError float64       // standard deviation of log(estimate/work)
	Slack         float64       // of the objective, as a multiple of the critical path
	Target        time.Duration // added to the objective
	Priority      int
	MaxAttempts   int
	Value         float64 // of a submission of mean work
}

// Spread is a log-normal distribution that is cut off at Max.
type Spread struct {
	Mean   float64
	StdDev float64 // of the logarithm
	Max    float64 // 0 for no limit
}

// Burst multiplies the rates for a while.
type Burst struct {
	At     time.Duration // after the start of the load
	For    time.Duration
	Batch  float64 // factor of the batch rate
	Short  float64 // factor of the short rate
	Cancel float64 // share of the submissions that are cancelled soon after
}

// LossKind is what a loss takes away.
type LossKind uint8

const (
	// LostWorkers lose power. Their runs end, and they return empty.
	LostWorkers LossKind = iota + 1
	// LostControllers take no submissions and place no tasks.
	LostControllers
	// LateOrders reach their workers only when the loss is over.
	LateOrders
)

// Loss takes a share of the workers or of their orders, or the controllers, away for a
// while.
type Loss struct {
	Kind  LossKind
	At    time.Duration // after the start of the load
	For   time.Duration
	Share float64 // of the workers
}

// Validate returns an error for the first fault of a scenario.
func (s *Scenario) Validate() error {
	switch {
	case s.Length <= 0 || s.Lead < 0 || s.Drain < 0:
		return fmt.Errorf("the length must be above 0, lead and drain must not be negative")
	case s.Workers.Count <= 0 || len(s.Workers.CPU) == 0 || s.Workers.Memory <= 0 || s.Workers.PerRack <= 0:
		return fmt.Errorf("the workers need a count, CPU sizes, memory and a rack size")
	case s.Images.Service <= 0 || s.Images.Batch <= 0 || s.Images.Resources <= 0:
		return fmt.Errorf("service images, batch images and resources must be above 0")
	case s.Services.TailTarget <= 0 || s.Services.SwingPeriod <= 0:
		return fmt.Errorf("services: tail target and swing period must be above 0")
	case s.Services.Rate < 0 || s.Batch.Rate < 0 || s.Short.Rate < 0:
		return fmt.Errorf("rates must not be negative")
	}
	for i, l := range s.Losses {
		if l.Kind < LostWorkers || l.Kind > LateOrders {
			return fmt.Errorf("loss %d: the kind is unknown", i)
		}
		if l.Share < 0 || l.Share > 1 || l.At < 0 || l.For <= 0 {
			return fmt.Errorf("loss %d: the share must be from 0 to 1, the duration above 0", i)
		}
	}
	return nil
}
