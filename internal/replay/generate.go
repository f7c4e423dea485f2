package replay

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// profile describes the traffic of a deployment.
type profile struct {
	deployment Deployment
	duration   time.Duration
	// chats is the number of chats; rate gives the relative number that start at a part (0 to 1) of the trace.
	chats int
	rate  func(part float64) float64
	// meanTurns and maxTurns bound the geometric number of turns of a chat.
	meanTurns, maxTurns int
	promptWords         int
	outputWords         int
	// returns is the part of the turns that come after a long pause.
	returns               float64
	shortPause, longPause [2]time.Duration
	// roaming is the part of the turns that use an entry of another zone.
	roaming float64
	// calls is the number of service calls.
	calls       int
	servicePool string
	callPath    string
	queryPath   string
	nonRepeated float64
	faults      []Event
}

// Deployments lists the names that Generate knows.
func Deployments() []string { return []string{"hanamichi", "cordillera", "demo"} }

// Generate returns the trace of a deployment; equal seeds give equal traces.
func Generate(deployment string, seed uint64) (*Trace, error) {
	var p profile
	switch deployment {
	case "hanamichi":
		p = hanamichi()
	case "cordillera":
		p = cordillera()
	case "demo":
		p = demo()
	default:
		return nil, trace.BadParameter("deployment %q is not one of %s", deployment, strings.Join(Deployments(), ", "))
	}
	g := &generator{profile: p, random: rand.New(rand.NewPCG(seed, 0))}
	return g.generate(seed), nil
}

// generator makes the events of a profile.
type generator struct {
	profile
	random *rand.Rand
	events []Event
}

func (g *generator) generate(seed uint64) *Trace {
	g.deployment.Seed = seed
	for i := range g.deployment.Customers {
		g.deployment.Customers[i].System = g.words(systemWords)
	}
	for i := range g.chats {
		g.chat(i)
	}
	for i := range g.calls {
		g.call(i)
	}
	g.events = append(g.events, g.faults...)
	sort.SliceStable(g.events, func(i, j int) bool { return g.events[i].AtMS < g.events[j].AtMS })
	return &Trace{Deployment: g.deployment, Events: g.events}
}

// systemWords is the length of a customer's first message.
const systemWords = 95

// chat adds the turns of one chat that starts within the trace.
func (g *generator) chat(number int) {
	customer := g.customer()
	home := g.zone()
	at := g.start()
	for turn := range g.turns() {
		if at > g.duration {
			return
		}
		g.events = append(g.events, Event{
			AtMS: at.Milliseconds(), Kind: KindChat, Customer: customer, Chat: fmt.Sprintf("c%d", number), Turn: turn,
			Zone: g.entryZone(home), Pool: g.deployment.Pools[0].Name,
			Prompt: g.words(g.spread(g.promptWords)), Output: g.spread(g.outputWords),
			Repeatable: true,
		})
		at += g.pause()
	}
}

// call adds one service call. Each body is unique, so that runs can be counted by body.
func (g *generator) call(number int) {
	event := Event{
		AtMS: g.start().Milliseconds(), Kind: KindCall, Customer: g.customer(), Zone: g.zone(), Pool: g.servicePool,
		Path: g.queryPath, Repeatable: true,
		Prompt: fmt.Sprintf(`{"number":%d,"text":"%s"}`, number, g.words(4)),
	}
	if g.random.Float64() < g.nonRepeated {
		event.Path, event.Repeatable = g.callPath, false
	}
	g.events = append(g.events, event)
}

// start returns a random start time that follows the profile's rate.
func (g *generator) start() time.Duration {
	for {
		part := g.random.Float64()
		if g.random.Float64() < g.rate(part) {
			return time.Duration(part * float64(g.duration))
		}
	}
}

// customer returns a random customer by weight.
func (g *generator) customer() string {
	total := 0.0
	for _, customer := range g.deployment.Customers {
		total += customer.Weight
	}
	left := g.random.Float64() * total
	for _, customer := range g.deployment.Customers {
		left -= customer.Weight
		if left < 0 {
			return customer.Name
		}
	}
	return g.deployment.Customers[0].Name
}

func (g *generator) zone() string {
	return g.deployment.Zones[g.random.IntN(len(g.deployment.Zones))]
}

func (g *generator) entryZone(home string) string {
	if g.random.Float64() < g.roaming {
		return g.zone()
	}
	return home
}

func (g *generator) turns() int {
	turns := 1
	for turns < g.maxTurns && g.random.Float64() > 1/float64(g.meanTurns) {
		turns++
	}
	return turns
}

// pause returns the time between the starts of two turns.
func (g *generator) pause() time.Duration {
	bounds := g.shortPause
	if g.random.Float64() < g.returns {
		bounds = g.longPause
	}
	return bounds[0] + time.Duration(g.random.Float64()*float64(bounds[1]-bounds[0]))
}

// spread returns a length between half and one and a half of the mean.
func (g *generator) spread(mean int) int { return max(1, mean/2+g.random.IntN(mean+1)) }

func (g *generator) words(n int) string {
	words := make([]string, n)
	for i := range words {
		words[i] = vocabulary[g.random.IntN(len(vocabulary))]
	}
	return strings.Join(words, " ")
}

// vocabulary is short, to keep traces small.
var vocabulary = strings.Fields(`a all and any as ask at be bed best bud but by can cut do dry due early far few fit
for form from get give go good grow half hold hot how if in is it keep kind last late leaf less like line list long
low make many may more name near new next no not now of off old on one open or our out own pair part past pot pink
place plan plant pot put rain red rest ripe root rose row run same seed sell send set she short show side so soil
some soon sort stem stock sun take tall test than that the then they this time tip to too try two up use very wait
warm was way we weak week well wet what when white who why wide will wind with wood work year yet you`)
