// Package engine simulates an LLM inference engine with continuous batching, a prefix cache, resumable streams and
// control-plane orders.
package engine

import (
	"encoding/json"
	"errors"
	"math/rand/v2"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/amaranthlb/amaranthlb/standin/batch"
)

// DefaultMaxTokens is the length of an answer when the request sets no max_tokens.
const DefaultMaxTokens = 16

// vocabularySize is the number of distinct words in generated answers.
const vocabularySize = 1000

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Completion is the body of a chat completion request.
type Completion struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	Stream    bool      `json:"stream,omitempty"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	User      string    `json:"user,omitempty"`
}

// ParseCompletion decodes and validates a request body and applies the default length.
func ParseCompletion(body []byte) (Completion, error) {
	var completion Completion
	if err := json.Unmarshal(body, &completion); err != nil {
		return completion, err
	}
	if len(completion.Messages) == 0 {
		return completion, errors.New("messages: needs at least one message")
	}
	if completion.MaxTokens < 0 {
		return completion, errors.New("max_tokens: must not be negative")
	}
	if completion.MaxTokens == 0 {
		completion.MaxTokens = DefaultMaxTokens
	}
	return completion, nil
}

// Tokens splits messages into words, which serve as tokens. Each message starts with its role.
func Tokens(messages []Message) []string {
	var tokens []string
	for _, message := range messages {
		tokens = append(tokens, message.Role)
		tokens = append(tokens, strings.Fields(message.Content)...)
	}
	return tokens
}

// AnswerWords returns the words of the answer. They depend only on the model, messages, length and user, so a router
// may re-encode the body or switch streaming on without changing the answer.
func (c Completion) AnswerWords() []string {
	c.Stream = false
	canonical, err := json.Marshal(c)
	if err != nil {
		panic("engine: cannot encode completion: " + err.Error())
	}
	random := rand.New(rand.NewPCG(xxhash.Sum64(canonical), 0))
	words := make([]string, c.MaxTokens)
	for i := range words {
		words[i] = "w" + strconv.Itoa(random.IntN(vocabularySize))
	}
	return words
}

// Answer returns the text that the engine generates for a request body.
func Answer(body []byte) (string, error) {
	completion, err := ParseCompletion(body)
	if err != nil {
		return "", err
	}
	return strings.Join(completion.AnswerWords(), " "), nil
}

// Request converts the completion to a request of the batch model. The answer blocks match those of the next turn's
// prompt, which repeats the answer as the assistant's message.
func (c Completion) Request(priority int) *batch.Request {
	prompt := Tokens(c.Messages)
	answer := append(append(prompt[:len(prompt):len(prompt)], "assistant"), c.AnswerWords()...)
	return &batch.Request{
		Priority:     priority,
		Prompt:       batch.Blocks(prompt),
		Answer:       batch.Blocks(answer),
		PromptTokens: len(prompt),
		OutputTokens: c.MaxTokens,
	}
}
