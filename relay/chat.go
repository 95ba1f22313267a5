package relay

import (
	"github.com/buckthorntrack/buckthorntrack/flow"
	"github.com/buckthorntrack/buckthorntrack/units"
)

// completionChunk holds the fields of a streamed token that a complete answer is built from.
type completionChunk struct {
	Choices []chunkChoice `json:"choices"`
}

type chunkChoice struct {
	Delta message `json:"delta"`
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// completion is the complete answer to a chat request.
type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   usage              `json:"usage"`
}

type completionChoice struct {
	Index        int     `json:"index"`
	Message      message `json:"message"`
	FinishReason string  `json:"finish_reason"`
}

type usage struct {
	PromptTokens     units.Tokens `json:"prompt_tokens"`
	CompletionTokens units.Tokens `json:"completion_tokens"`
	TotalTokens      units.Tokens `json:"total_tokens"`
}

func newCompletion(x *flow.Exchange, text string, tokens units.Tokens) completion {
	choice := completionChoice{Message: message{Role: "assistant", Content: text}, FinishReason: "stop"}
	if tokens >= x.Job.Output {
		choice.FinishReason = "length"
	}
	return completion{
		ID: string(x.ID), Object: "chat.completion", Model: string(x.Service.Name),
		Choices: []completionChoice{choice},
		Usage: usage{
			PromptTokens: x.Job.Input, CompletionTokens: tokens, TotalTokens: x.Job.Input + tokens,
		},
	}
}
