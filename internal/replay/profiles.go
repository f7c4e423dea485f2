package replay

import (
	"fmt"
	"math"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/catalogue"
)

// customerWeights are the parts of the traffic of ten customers, a few of them large.
var customerWeights = []float64{30, 22, 14, 8, 7, 6, 5, 4, 2, 2}

// tenCustomers returns the customers of a deployment.
func tenCustomers(prefix string) []Customer {
	customers := make([]Customer, len(customerWeights))
	for i, weight := range customerWeights {
		name := fmt.Sprintf("%s-%d", prefix, i+1)
		customers[i] = Customer{Name: name, Key: "key-" + name, Weight: weight}
	}
	return customers
}

// spreadTargets returns n targets that are spread over the zones in turn.
func spreadTargets(prefix string, n int, zones []string) []Target {
	targets := make([]Target, n)
	for i := range targets {
		targets[i] = Target{Name: fmt.Sprintf("%s-%d", prefix, i+1), Zone: zones[i%len(zones)]}
	}
	return targets
}

func fault(at time.Duration, kind Fault, lasts time.Duration) Event {
	return Event{AtMS: at.Milliseconds(), Kind: KindFault, Fault: kind, ForMS: lasts.Milliseconds()}
}

func targetFault(at time.Duration, kind Fault, target string, lasts time.Duration) Event {
	event := fault(at, kind, lasts)
	event.Target = target
	return event
}

func zoneFault(at time.Duration, zone string, lasts time.Duration) Event {
	event := fault(at, ZoneCut, lasts)
	event.Zone = zone
	return event
}

func vmFault(at time.Duration, vm string) Event {
	event := fault(at, VMReplace, 0)
	event.VM = vm
	return event
}

// hanamichi is the rose cultivar registry: long conversations that return after pauses. Reuse has more weight.
func hanamichi() profile {
	zones := []string{"z1", "z2", "z3", "z4"}
	models := spreadTargets("model", 12, zones)
	models[11].Absent = true
	return profile{
		deployment: Deployment{
			Name: "hanamichi", TimeScale: 10, Zones: zones, ZoneDelayMS: 5, Customers: tenCustomers("breeder"),
			Pools: []Pool{
				{
					Name: "rosa", Kind: catalogue.Model, LoadMultiple: 1.25, ReuseWeight: 2, SkewWeight: 1,
					Engine:  &Engine{Slots: 16, TokenMS: 25, BatchTokenMS: 1, PrefillMS: 1, CacheBlocks: 320, ReportIntervalMS: 200},
					Targets: models,
				},
				{
					Name: "registry", Kind: catalogue.Service, RunTimeMS: 30,
					NonRepeatable: []catalogue.Call{{Method: "POST", Path: "/names"}},
					Targets:       spreadTargets("registry", 4, zones),
				},
			},
		},
		duration: 60 * time.Second, chats: 560, rate: func(float64) float64 { return 1 },
		meanTurns: 7, maxTurns: 20, promptWords: 15, outputWords: 55,
		returns:    0.35,
		shortPause: [2]time.Duration{3 * time.Second, 6 * time.Second},
		longPause:  [2]time.Duration{10 * time.Second, 22 * time.Second},
		roaming:    0.15,
		calls:      200, servicePool: "registry", callPath: "names", queryPath: "cultivars", nonRepeated: 0.5,
		faults: []Event{
			targetFault(10*time.Second, TargetLeave, "model-3", 15*time.Second),
			targetFault(16*time.Second, TargetFlap, "model-7", 400*time.Millisecond),
			targetFault(17*time.Second, TargetFlap, "model-7", 400*time.Millisecond),
			targetFault(18*time.Second, TargetFlap, "model-7", 400*time.Millisecond),
			targetFault(24*time.Second, TargetCrash, "model-1", 3*time.Second),
			vmFault(30*time.Second, "vm-2"),
			zoneFault(36*time.Second, "z4", 4*time.Second),
			fault(41*time.Second, PlatformDown, 8*time.Second),
			targetFault(50*time.Second, TargetJoin, "model-12", 0),
		},
	}
}

// morningSurge starts at a fifth of the peak rate and peaks at six tenths of the trace.
func morningSurge(part float64) float64 {
	distance := (part - 0.6) / 0.18
	return 0.2 + 0.8*math.Exp(-distance*distance)
}

// cordillera sells spare parts: short conversations with a morning surge. Skew has more weight.
func cordillera() profile {
	zones := []string{"z1", "z2", "z3"}
	models := spreadTargets("model", 18, zones)
	models[17].Absent = true
	return profile{
		deployment: Deployment{
			Name: "cordillera", TimeScale: 10, Zones: zones, ZoneDelayMS: 3.5, Customers: tenCustomers("bakery"),
			Pools: []Pool{
				{
					Name: "spares", Kind: catalogue.Model, LoadMultiple: 1.25, ReuseWeight: 1, SkewWeight: 2,
					Engine:  &Engine{Slots: 16, TokenMS: 25, BatchTokenMS: 1, PrefillMS: 1, CacheBlocks: 200, ReportIntervalMS: 200},
					Targets: models,
				},
				{
					Name: "orders", Kind: catalogue.Service, RunTimeMS: 30,
					NonRepeatable: []catalogue.Call{{Method: "POST", Path: "/orders"}},
					Targets:       spreadTargets("orders", 3, zones),
				},
			},
		},
		duration: 60 * time.Second, chats: 750, rate: morningSurge,
		meanTurns: 3, maxTurns: 8, promptWords: 12, outputWords: 45,
		returns:    0.1,
		shortPause: [2]time.Duration{2 * time.Second, 5 * time.Second},
		longPause:  [2]time.Duration{8 * time.Second, 16 * time.Second},
		roaming:    0.15,
		calls:      300, servicePool: "orders", callPath: "orders", queryPath: "stock", nonRepeated: 0.4,
		faults: []Event{
			targetFault(8*time.Second, TargetFlap, "model-5", 400*time.Millisecond),
			targetFault(9*time.Second, TargetFlap, "model-5", 400*time.Millisecond),
			targetFault(15*time.Second, TargetLeave, "model-2", 10*time.Second),
			vmFault(20*time.Second, "vm-3"),
			targetFault(27*time.Second, TargetCrash, "model-9", 3*time.Second),
			targetFault(31*time.Second, TargetJoin, "model-18", 0),
			zoneFault(36*time.Second, "z3", 3*time.Second),
			fault(40*time.Second, PlatformDown, 6*time.Second),
		},
	}
}

// demo is a small fleet of two zones that loses a gate on the way.
func demo() profile {
	zones := []string{"z1", "z2"}
	lostGate := vmFault(8*time.Second, "gate-z11")
	lostGate.ForMS = (4 * time.Second).Milliseconds()
	return profile{
		deployment: Deployment{
			Name: "demo", TimeScale: 10, Zones: zones, ZoneDelayMS: 0, Customers: tenCustomers("nursery")[:3],
			Pools: []Pool{
				{
					Name: "assistant", Kind: catalogue.Model, LoadMultiple: 1.5, ReuseWeight: 1, SkewWeight: 1,
					Engine:  &Engine{Slots: 16, TokenMS: 10, BatchTokenMS: 0.2, PrefillMS: 0.5, CacheBlocks: 800, ReportIntervalMS: 200},
					Targets: spreadTargets("model", 4, zones),
				},
				{
					Name: "orders", Kind: catalogue.Service, RunTimeMS: 30,
					NonRepeatable: []catalogue.Call{{Method: "POST", Path: "/orders"}},
					Targets:       spreadTargets("orders", 2, zones),
				},
			},
		},
		duration: 20 * time.Second, chats: 60, rate: func(float64) float64 { return 1 },
		meanTurns: 4, maxTurns: 8, promptWords: 12, outputWords: 40,
		returns:    0.2,
		shortPause: [2]time.Duration{time.Second, 2 * time.Second},
		longPause:  [2]time.Duration{4 * time.Second, 8 * time.Second},
		roaming:    0.3,
		calls:      60, servicePool: "orders", callPath: "orders", queryPath: "stock", nonRepeated: 0.5,
		faults: []Event{lostGate},
	}
}
