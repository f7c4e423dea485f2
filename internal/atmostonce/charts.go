package atmostonce

import "github.com/amaranthlb/amaranthlb/internal/statechart"

// The charts use plain strings for states, events and actions, because a record is transferred to the heir with the
// name of its state.
type (
	chart           = statechart.Chart[string, string, string]
	chartVocabulary = statechart.Vocabulary[string, string, string]
)

var (
	executorChart = statechart.MustLoad(executorVocabulary)
	witnessChart  = statechart.MustLoad(witnessVocabulary)
	roleChart     = statechart.MustLoad(roleVocabulary)
)
