package routes

import "time"

// Part is a piece of a prompt. Requests whose prompts begin with the same parts share what an engine has cached.
type Part struct {
	ID     string
	Tokens int
}

// Request holds the properties of a caller's request that the router uses.
type Request struct {
	// ID names one try of the caller. It is empty when the caller gave none.
	ID string
	// Key is the API key; empty when there is none.
	Key string
	// Wait is how long the caller waits; zero when it did not say.
	Wait time.Duration
	// Prompt is the prompt's parts in order; the last one belongs to the request itself.
	Prompt []Part
	// PromptTokens and MaxAnswerTokens are the sizes that the caller states; zero when it did not.
	PromptTokens    int
	MaxAnswerTokens int
	// AnswerTokens is the caller's estimate of the answer's size; zero when there is none.
	AnswerTokens int
	// ResumeAfter is the id of the last event that the caller has; empty for a new stream.
	ResumeAfter string
}

// Order holds what the router sends to a target in addition to the caller's own headers.
type Order struct {
	// TargetID makes any other instance at the same address refuse the request.
	TargetID string
	// Left is the time until the request's deadline.
	Left time.Duration
	// Customer is the name of the key's holder; empty when there is none.
	Customer string
	// Priority is the rank at the engine, from 0 to 9, when HasPriority is set.
	Priority    int
	HasPriority bool
	// FetchFrom is the address of another target of the service, from which this one copies what it lacks of the
	// prompt's cache; empty for none.
	FetchFrom string
	// ResumeAfter is the id of the last event that the caller has got from another target.
	ResumeAfter string
}

// Load is the load that a target reports.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// Answer holds the properties of a target's response header that the router uses.
type Answer struct {
	// ID is the request's id as the target repeats it; empty when it names none.
	ID string
	// Sealed answers come from a target itself, and are passed on as they are.
	Sealed bool
	// NotRun says that the target did not run the request and will not.
	NotRun bool
	// Misdirected says that another instance has the address.
	Misdirected bool
	// Encoded is set if the body is not the target's own.
	Encoded bool
	// Load is the target's load, when HasLoad is set.
	Load    Load
	HasLoad bool
	// KeepAlive is how long the target keeps the idle connection; zero when it does not say.
	KeepAlive time.Duration
}
