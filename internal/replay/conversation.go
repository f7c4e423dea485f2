package replay

import (
	"encoding/json"
	"strings"

	"github.com/amaranthlb/amaranthlb/standin/batch"
	"github.com/amaranthlb/amaranthlb/standin/engine"
)

// turn is one turn of a chat, ready to be sent.
type turn struct {
	event      *Event
	completion engine.Completion
	words      []string
	// next is the chat's next turn, if any.
	next *turn
	// first says that the chat has no turn before this one.
	first bool
	// request holds blocks and lengths; each run works on copies of it.
	request *batch.Request
}

// body returns the request body.
func (t *turn) body() []byte {
	body, err := json.Marshal(t.completion)
	if err != nil {
		panic("replay: completion can't be encoded: " + err.Error())
	}
	return body
}

// answer returns the text that the engine stand-in gives.
func (t *turn) answer() string { return strings.Join(t.words, " ") }

// turns returns every turn of a trace in its order, and the oracle's tokens of each. Runs don't change them.
func (t *Trace) turns() ([]*turn, map[*turn]int) {
	t.prepare.Do(func() {
		t.all = t.buildTurns()
		t.oracle = oracleTokens(t, t.all)
	})
	return t.all, t.oracle
}

func (t *Trace) buildTurns() []*turn {
	last := make(map[string]*turn)
	var all []*turn
	for i := range t.Events {
		event := &t.Events[i]
		if event.Kind != KindChat {
			continue
		}
		before := last[event.Chat]
		current := t.turn(event, before)
		if before != nil {
			before.next = current
		}
		last[event.Chat] = current
		all = append(all, current)
	}
	return all
}

// turn builds one turn after the one before it, which may be nil.
func (t *Trace) turn(event *Event, before *turn) *turn {
	completion := engine.Completion{
		Model: event.Pool, Messages: t.history(event, before), Stream: true,
		MaxTokens: event.Output, User: event.Customer,
	}
	completion.Messages = append(completion.Messages, engine.Message{Role: "user", Content: event.Prompt})
	return &turn{
		event:      event,
		completion: completion,
		words:      completion.AnswerWords(),
		first:      before == nil,
		request:    completion.Request(0),
	}
}

// history returns the messages that a turn repeats.
func (t *Trace) history(event *Event, before *turn) []engine.Message {
	if before == nil {
		customer, _ := t.Deployment.Customer(event.Customer)
		return []engine.Message{{Role: "system", Content: customer.System}}
	}
	messages := append([]engine.Message{}, before.completion.Messages...)
	return append(messages, engine.Message{Role: "assistant", Content: before.answer()})
}

// oracleTokens returns the prompt tokens of each turn that one cache with the memory of all live engines of the
// pool would hold. Placement alone can't use that memory better: the oracle keeps no block twice, and a target
// that leaves takes away memory but not the most recently used blocks.
func oracleTokens(t *Trace, turns []*turn) map[*turn]int {
	line := newTimeline(t, emptyingFaults)
	caches := make(map[string]*batch.Cache)
	tokens := make(map[*turn]int, len(turns))
	for _, turn := range turns {
		pool, _ := t.Deployment.Pool(turn.event.Pool)
		cache := caches[pool.Name]
		if cache == nil {
			cache = batch.NewCache(0)
			caches[pool.Name] = cache
		}
		cache.SetCapacity(pool.Engine.CacheBlocks * line.liveTargets(pool, turn.event.At()))
		tokens[turn] = cache.Prefix(turn.request.Prompt) * batch.BlockTokens
		cache.Store(turn.request.Answer)
	}
	return tokens
}
