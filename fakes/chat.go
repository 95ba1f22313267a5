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

// ChatBody is the part of a chat request that a stand-in engine reads.
type ChatBody struct {
	Model     string        `json:"model"`
	Stream    bool          `json:"stream"`
	MaxTokens int64         `json:"max_tokens"`
	Messages  []ChatMessage `json:"messages"`
}

// ChatDelta is the new part of an answer.
type ChatDelta struct {
	Content string `json:"content"`
}

// ChatChoice is one alternative of a chunk.
type ChatChoice struct {
	Index int       `json:"index"`
	Delta ChatDelta `json:"delta"`
}

// ChatChunk is the payload of one event of a streamed answer.
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

// Prompt returns the text of all messages.
func (b ChatBody) Prompt() string {
	var text strings.Builder
	for _, m := range b.Messages {
		text.WriteString(m.Content)
		text.WriteByte('\n')
	}
	return text.String()
}

// prefix returns the system message, which many prompts share.
func (b ChatBody) prefix() string {
	if len(b.Messages) > 1 && b.Messages[0].Role == "system" {
		return b.Messages[0].Content
	}
	return ""
}

func (b ChatBody) work(r *http.Request) ModelRequest {
	prompt := b.Prompt()
	from, _ := strconv.ParseInt(r.Header.Get(engine.HeaderResumeFrom), 10, 64)
	priority, _ := strconv.Atoi(r.Header.Get(engine.HeaderPriority))
	phase := engine.Phase(r.Header.Get(engine.HeaderPhase))
	if phase == "" {
		phase = engine.PhaseWhole
	}
	output := units.Tokens(b.MaxTokens)
	if output <= 0 {
		output = defaultOutput
	}
	return ModelRequest{
		ID:       units.RequestID(r.Header.Get(engine.HeaderRequestID)),
		Prompt:   prompt,
		Prefix:   b.prefix(),
		Input:    units.Tokens(len(prompt)/bytesPerToken + 1),
		Cached:   units.Tokens(len(b.prefix()) / bytesPerToken),
		Output:   min(output, maxOutput),
		From:     units.Tokens(from),
		Phase:    phase,
		Priority: units.Priority(priority),
	}
}
