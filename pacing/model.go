package pacing

import (
	"maps"
	"slices"

	"github.com/gentianrail/gentianrail/interference"
)

// Parameters of the shares that the model of interference suggests.
const (
	_targetUtilization = 0.72 // of service tasks; the tail latency reaches the target at 0.8
	_minLoadShare      = 20   // percent; below it the load does not show the load at full speed
	_lowerBy           = 10   // percentage points by which the model must differ before a share is lowered
	_raiseBy           = 25   // percentage points by which a share is raised at a time
)

// SetCapacity sets the worker's CPU in thousandths of a core. Without it the pacer
// does not know how much load an image adds, and reacts to missed targets only.
func (p *Pacer) SetCapacity(cpu int64) { p.capacity = cpu }

// recordLoads updates the load that each batch image adds at full speed.
func (p *Pacer) recordLoads(tasks []Task) {
	loads := make(map[string]float64, len(p.batchImages))
	for _, t := range tasks {
		if t.IsBatch && p.capacity > 0 {
			loads[t.Image] += float64(t.Measurement) / float64(p.capacity)
		}
	}
	for image, b := range p.batchImages {
		b.load = loads[image]
		if b.present && b.share >= _minLoadShare {
			b.fullLoad = b.load * _fullShare / float64(b.share)
		}
	}
}

// updateSuggestions sets the share up to which the model allows the tasks of each
// image to run: the service tasks' demand follows from their tail latency and the
// present loads, and the heavy images share equally the interference that the
// demand leaves room for.
func (p *Pacer) updateSuggestions(coefficients interference.Coefficients) {
	for _, b := range p.batchImages {
		b.suggested = _fullShare
	}
	if p.capacity == 0 {
		return
	}
	images := slices.Sorted(maps.Keys(p.batchImages)) // sums of floats depend on the order
	for service, s := range p.serviceImages {
		if !s.present {
			continue
		}
		var present, light, heavy float64
		for _, image := range images {
			b := p.batchImages[image]
			if !b.present {
				continue
			}
			c := coefficients.Of(interference.Pair{Batch: image, Service: service})
			present += c * b.load
			if c > _lightCoefficient {
				heavy += c * b.fullLoad
			} else {
				light += c * b.load
			}
		}
		demand := interference.Utilization(s.maxTailLatency) / (1 + present)
		if demand <= 0 || heavy <= 0 {
			continue
		}
		room := _targetUtilization/demand - 1 - light
		share := int(min(max(room/heavy, 0), 1) * _fullShare)
		for image, b := range p.batchImages {
			if b.present && coefficients.Of(interference.Pair{Batch: image, Service: service}) > _lightCoefficient {
				b.suggested = min(b.suggested, share)
			}
		}
	}
}
