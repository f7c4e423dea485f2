package engine

import "encoding/json"

// Usage counts the tokens of one request.
type Usage struct {
	PromptTokens     int                 `json:"prompt_tokens"`
	CompletionTokens int                 `json:"completion_tokens"`
	TotalTokens      int                 `json:"total_tokens"`
	PromptDetails    PromptTokensDetails `json:"prompt_tokens_details"`
}

// PromptTokensDetails counts the prompt tokens that were cached.
type PromptTokensDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// Choice is one answer; Delta is set in chunks and Message in whole answers.
type Choice struct {
	Index        int      `json:"index"`
	Delta        *Delta   `json:"delta,omitempty"`
	Message      *Message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Delta is the text that a chunk adds.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// Chunk is a chat completion or one chunk of it.
type Chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Names of objects and of the reason for the end.
const (
	objectChunk      = "chat.completion.chunk"
	objectCompletion = "chat.completion"
	finishStop       = "stop"
)

// encodeEvent returns event n of a stream. Event n < len(words) has word n; the one after them has the usage.
func (s *stream) encodeEvent(n int) []byte {
	chunk := Chunk{ID: "chatcmpl-" + s.id, Object: objectChunk, Created: s.created, Model: s.completion.Model}
	choice := Choice{Delta: &Delta{}}
	if n < len(s.words) {
		choice.Delta.Content = s.deltaText(n)
	} else {
		finish := finishStop
		choice.FinishReason = &finish
		chunk.Usage = s.usage()
	}
	if n == 0 {
		choice.Delta.Role = "assistant"
	}
	chunk.Choices = []Choice{choice}
	return mustEncode(chunk)
}

func (s *stream) deltaText(n int) string {
	if n == 0 {
		return s.words[0]
	}
	return " " + s.words[n]
}

// encodeCompletion returns the answer as one object.
func (s *stream) encodeCompletion() []byte {
	finish := finishStop
	message := Message{Role: "assistant", Content: s.text()}
	return mustEncode(Chunk{
		ID: "chatcmpl-" + s.id, Object: objectCompletion, Created: s.created, Model: s.completion.Model,
		Choices: []Choice{{Message: &message, FinishReason: &finish}},
		Usage:   s.usage(),
	})
}

func (s *stream) usage() *Usage {
	return &Usage{
		PromptTokens:     s.request.PromptTokens,
		CompletionTokens: len(s.words),
		TotalTokens:      s.request.PromptTokens + len(s.words),
		PromptDetails:    PromptTokensDetails{CachedTokens: s.request.Cached},
	}
}

func mustEncode(value any) []byte {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic("engine: value can't be encoded: " + err.Error())
	}
	return encoded
}
