package entry

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/amaranthlb/amaranthlb/internal/catalogue"
	"github.com/amaranthlb/amaranthlb/internal/placement"
	"github.com/amaranthlb/amaranthlb/internal/reason"
	"github.com/amaranthlb/amaranthlb/internal/routing"
)

const (
	chatPath        = "/v1/chat/completions"
	placementExpiry = 24 * time.Hour
	streamExpiry    = 10 * time.Minute
	// prefixMessages is the number of leading messages that identify a chat without a key from the caller.
	prefixMessages  = 2
	maxChatKeyBytes = 128
)

// chatBody is the part of a chat completion request that the entry reads.
type chatBody struct {
	Model    string            `json:"model"`
	Stream   bool              `json:"stream"`
	Messages []json.RawMessage `json:"messages"`
}

func (e *Entry) chatCompletions(c *caller) error {
	if c.Request().Header.Get(headerLastEventID) != "" {
		return e.resumeChat(c)
	}
	body, err := e.readBody(c)
	if err != nil {
		return err
	}
	var chat chatBody
	if err := json.Unmarshal(body, &chat); err != nil {
		return refuse(reason.BadRequest, "the body is not a chat completion request: %v", err)
	}
	pool, err := chatPool(c, &chat)
	if err != nil {
		return err
	}
	limit, err := deadline(c, pool)
	if err != nil {
		return err
	}
	key := chatKey(c, &chat)
	routes, _ := c.snapshot.Routes.Pool(pool.Name)
	request := &request{
		id:          uuid.NewString(),
		customer:    c.customer,
		pool:        pool,
		method:      http.MethodPost,
		path:        chatPath,
		contentType: "application/json",
		body:        body,
		stream:      chat.Stream,
		deadline:    time.Now().Add(limit),
		chat:        key,
		chatHash:    chatHash(key),
		holder:      routing.NoHolder,
		repeatable:  !pool.NonRepeatableCall(http.MethodPost, chatPath),
	}
	if token, ok := e.placementOf(c, pool); ok {
		request.preferHolder(routes, token)
	}
	if !request.repeatable {
		return e.serveOnce(c, request)
	}
	return e.serve(c, request)
}

// chatPool validates the fields that the entry needs and returns the pool of the model.
func chatPool(c *caller, chat *chatBody) (*catalogue.Pool, error) {
	if chat.Model == "" {
		return nil, refuse(reason.BadRequest, "field model is required")
	}
	if len(chat.Messages) == 0 {
		return nil, refuse(reason.BadRequest, "field messages needs at least one message")
	}
	pool, ok := c.snapshot.Catalogue.Pool(chat.Model)
	if !ok || pool.Kind != catalogue.Model {
		return nil, refuse(reason.UnknownPool, "field model: the catalogue has no model %q", chat.Model)
	}
	return pool, nil
}

// chatKey identifies a chat across its turns: by the caller's key, or else by its first messages, which do not change.
func chatKey(c *caller, chat *chatBody) string {
	if key := c.Request().Header.Get(headerChat); key != "" {
		return callerKey(c.customer.Name, key)
	}
	hash := xxhash.New()
	for i, message := range chat.Messages {
		if i == prefixMessages {
			break
		}
		_, _ = hash.Write(message)
	}
	return c.customer.Name + "/" + uuid.NewSHA1(uuid.Nil, hash.Sum(nil)).String()
}

// callerKey identifies a chat by the key that the caller supplied.
func callerKey(customer, key string) string {
	return customer + "/" + key[:min(len(key), maxChatKeyBytes)]
}

// chatHash returns the hash by which targets are ranked for a chat.
func chatHash(key string) uint64 { return xxhash.Sum64String(key) }

// placementOf opens the caller's placement token. The token is only a cache hint, so one that has expired or was sealed
// with another fleet key is ignored and not treated as an error.
func (e *Entry) placementOf(c *caller, pool *catalogue.Pool) (placement.Token, bool) {
	text := c.Request().Header.Get(headerPlacement)
	if text == "" {
		return placement.Token{}, false
	}
	token, err := e.sealer.Open(text, placement.Chat, c.customer.Name, time.Now())
	if err != nil || token.Pool != pool.Name || token.Version != pool.Version {
		e.meters.Event("placement_refused")
		return placement.Token{}, false
	}
	return token, true
}

// modelList is the list of models in the OpenAI format.
type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

func (e *Entry) listModels(c *caller) error {
	list := modelList{Object: "list", Data: []modelEntry{}}
	for i := range c.snapshot.Catalogue.Pools {
		pool := &c.snapshot.Catalogue.Pools[i]
		if pool.Kind == catalogue.Model {
			list.Data = append(list.Data, modelEntry{ID: pool.Name, Object: "model", OwnedBy: pool.Owner})
		}
	}
	return c.JSON(http.StatusOK, list)
}
