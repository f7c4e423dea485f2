package engine

import "encoding/json"

// Usage holds the token counts of one request.
type Usage struct {
	PromptTokens     int                 `json:"prompt_tokens"`
	CompletionTokens int                 `json:"completion_tokens"`
	TotalTokens      int                 `json:"total_tokens"`
	PromptDetails    PromptTokensDetails `json:"prompt_tokens_details"`
}

// PromptTokensDetails holds the number of prompt tokens served from the prefix cache.
type PromptTokensDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// Choice is one completion choice. Delta is set in streamed chunks and Message in non-streamed responses.
type Choice struct {
	Index        int      `json:"index"`
	Delta        *Delta   `json:"delta,omitempty"`
	Message      *Message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Delta is the incremental text of a chunk.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// Chunk is a chat completion object or one streamed chunk of it.
type Chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Object types and the finish reason of the chat completion API.
const (
	objectChunk      = "chat.completion.chunk"
	objectCompletion = "chat.completion"
	finishStop       = "stop"
)

// encodeEvent encodes event n of a stream. Event n < len(words) carries word n; the event after them carries
// the finish reason and the usage.
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

// encodeCompletion encodes the response as a single chat completion object.
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
		panic("engine: cannot encode value: " + err.Error())
	}
	return encoded
}
