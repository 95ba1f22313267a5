package fakes

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/buckthorntrack/buckthorntrack/engine"
	"github.com/buckthorntrack/buckthorntrack/units"
)

// ChatMessage is one message of a chat request.
type ChatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatBody holds the fields of a chat request that a stand-in engine reads.
type ChatBody struct {
	Model     string        `json:"model"`
	Stream    bool          `json:"stream"`
	MaxTokens int64         `json:"max_tokens"`
	Messages  []ChatMessage `json:"messages"`
}

// ChatDelta is the text that one chunk adds to the answer.
type ChatDelta struct {
	Content string `json:"content"`
}

// ChatChoice is one choice of a chunk; stand-in engines return exactly one.
type ChatChoice struct {
	Index int       `json:"index"`
	Delta ChatDelta `json:"delta"`
}

// ChatChunk is the payload of one server-sent event of a streamed answer.
type ChatChunk struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Model   string       `json:"model"`
	Choices []ChatChoice `json:"choices"`
}

// NewChatChunk returns the chunk for one token.
func NewChatChunk(id, model, text string) ChatChunk {
	choice := ChatChoice{Delta: ChatDelta{Content: text}}
	return ChatChunk{ID: id, Object: "chat.completion.chunk", Model: model, Choices: []ChatChoice{choice}}
}

// Prompt returns the content of all messages, each followed by a newline.
func (b ChatBody) Prompt() string {
	var text strings.Builder
	for _, m := range b.Messages {
		text.WriteString(m.Content)
		text.WriteByte('\n')
	}
	return text.String()
}

// prefix returns the leading system message, which many prompts share, or an empty string if there is none.
func (b ChatBody) prefix() string {
	if len(b.Messages) > 1 && b.Messages[0].Role == "system" {
		return b.Messages[0].Content
	}
	return ""
}

// modelRequest returns the model request for the chat request and its headers.
func (b ChatBody) modelRequest(r *http.Request) ModelRequest {
	prompt := b.Prompt()
	from, _ := strconv.ParseInt(r.Header.Get(engine.HeaderResumeFrom), 10, 64)
	priority, _ := strconv.Atoi(r.Header.Get(engine.HeaderPriority))
	phase := engine.Phase(r.Header.Get(engine.HeaderPhase))
	if phase == "" {
		phase = engine.PhaseWhole
	}
	output := units.Tokens(b.MaxTokens)
	if output <= 0 {
		output = defaultOutputTokens
	}
	return ModelRequest{
		ID:       units.RequestID(r.Header.Get(engine.HeaderRequestID)),
		Prompt:   prompt,
		Prefix:   b.prefix(),
		Input:    units.Tokens(len(prompt)/bytesPerToken + 1),
		Shared:   units.Tokens(len(b.prefix()) / bytesPerToken),
		Output:   min(output, maxOutputTokens),
		From:     units.Tokens(from),
		Phase:    phase,
		Priority: units.Priority(priority),
	}
}
