package routes

import "time"

// Part is a segment of a prompt. Requests whose prompts begin with the same parts share an engine's cache entries.
type Part struct {
	ID     string
	Tokens int
}

// Request holds the properties of a caller's request that the router uses.
type Request struct {
	// ID identifies one attempt of the caller; empty if the caller sent none.
	ID string
	// Key is the API key; empty when there is none.
	Key string
	// Wait is how long the caller waits; zero if not stated.
	Wait time.Duration
	// Prompt is the prompt's parts in order; the last one belongs to the request itself.
	Prompt []Part
	// PromptTokens and MaxAnswerTokens are the sizes stated by the caller; zero if not stated.
	PromptTokens    int
	MaxAnswerTokens int
	// AnswerTokens is the caller's estimate of the response size; zero if there is none.
	AnswerTokens int
	// ResumeAfter is the ID of the last event that the caller has received; empty for a new stream.
	ResumeAfter string
}

// ExpectedAnswerTokens returns the caller's estimate of the response size, or else its bound; zero if there is neither.
func (r *Request) ExpectedAnswerTokens() int {
	if r.AnswerTokens > 0 {
		return r.AnswerTokens
	}
	return r.MaxAnswerTokens
}

// Dispatch holds what the router sends to a target in addition to the caller's own headers.
type Dispatch struct {
	// TargetID is the expected instance: any other instance at the same address refuses the request.
	TargetID string
	// Remaining is the time until the request's deadline.
	Remaining time.Duration
	// Customer is the name of the customer that owns the API key; empty if there is none.
	Customer string
	// Priority is the scheduling priority at the engine, from 0 to 9, if HasPriority is set.
	Priority    int
	HasPriority bool
	// FetchFrom is the address of another target of the service, from which this one copies the missing part of
	// the prompt's cache; empty for none.
	FetchFrom string
	// ResumeAfter is the ID of the last event that the caller has received from another target.
	ResumeAfter string
	// ContinueFrom names the memory of the run that this request continues; empty for a new run.
	ContinueFrom string
}

// Load is the load that a target reports.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// RelativeDuration is how long work takes at present, relative to the usual time: 1 is usual, 2 twice as long. It is
	// 0 if it is unknown.
	RelativeDuration float64
}

// Statements holds what a response header states about the requests that its target takes.
type Statements struct {
	// RateLimit is the number of requests a second that the target takes from all routers together, if HasRateLimit is
	// set. It holds for as long as the target's responses state it.
	RateLimit    float64
	HasRateLimit bool
	// Leaving is set if the target states that it leaves.
	Leaving bool
	// RetryAfter is how long the target wants no requests from this router, in a rejection; zero if not stated.
	// InvalidRetryAfter is the beginning of a value that is no number of seconds.
	RetryAfter        time.Duration
	InvalidRetryAfter string
}

// Answer holds the properties of a target's response header that the router uses.
type Answer struct {
	Statements

	// ID is the request ID echoed by the target; empty if there is none.
	ID string
	// Sealed is set if the response comes from the target itself; it is passed on unchanged.
	Sealed bool
	// NotRun is set if the target did not run the request and will not.
	NotRun bool
	// Misdirected is set if another instance has the address.
	Misdirected bool
	// Encoded is set if the body is not the target's own.
	Encoded bool
	// Load is the target's load, if HasLoad is set.
	Load    Load
	HasLoad bool
	// InvalidRelativeDuration is the beginning of a stated relative duration that is no number above 0, or is too large;
	// Load.RelativeDuration is 0 then.
	InvalidRelativeDuration string
	// KeepAlive is how long the target keeps an idle connection open; zero if not stated.
	KeepAlive time.Duration
}
