package atmostonce

import "github.com/amaranthlb/amaranthlb/internal/statechart"

// The charts of this package have plain strings as states, events and actions, since records carry their state to
// the heir by name.
type (
	chart           = statechart.Chart[string, string, string]
	chartVocabulary = statechart.Vocabulary[string, string, string]
)

var (
	executorChart = statechart.MustLoad(executorVocabulary)
	witnessChart  = statechart.MustLoad(witnessVocabulary)
	roleChart     = statechart.MustLoad(roleVocabulary)
)
