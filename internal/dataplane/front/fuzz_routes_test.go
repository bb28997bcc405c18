package front_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/rosestand/rosestand/internal/dataplane/front"
)

// FuzzTokenUsage parses the header of a turn's tokens; a well-formed one parses to what was written.
func FuzzTokenUsage(f *testing.F) {
	for _, text := range []string{
		"", "1840,136", " 1 , 2 ", "1", ",2", "-1,-1", "4294967295,2147483648", "1,2,3", "x,y",
		"1.5,2",
	} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		prompt, maxOutput := front.TokenUsage(text)
		if prompt > 1<<31-1 || maxOutput > 1<<31-1 {
			t.Fatalf("%q gave %d, %d", text, prompt, maxOutput)
		}
		if againPrompt, againMaxOutput := front.TokenUsage(fmt.Sprintf("%d,%d", prompt,
			maxOutput)); againPrompt != prompt || againMaxOutput != maxOutput {
			t.Fatalf("%d,%d was read as %d,%d", prompt, maxOutput, againPrompt, againMaxOutput)
		}
	})
}

// FuzzPromptParts parses the header of a prompt's parts; a well-formed one parses to what was written.
func FuzzPromptParts(f *testing.F) {
	for _, text := range []string{
		"", "5c1e07a2:800,91bd3f06:410,e4402b7d:250", "a", ":", "a:1,", ", b:2", "a:-1", "a:99999999999", "a:1:2",
		strings.Repeat("a:1,", 2*front.MaxPromptParts),
	} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		parts := front.PromptParts(text)
		if len(parts) > front.MaxPromptParts {
			t.Fatalf("%d parts", len(parts))
		}
		var written []string
		for _, part := range parts {
			if part.GetTokens() > 1<<31-1 {
				t.Fatalf("%q gave %v", text, part)
			}
			written = append(written, fmt.Sprintf("%s:%d", part.GetId(), part.GetTokens()))
		}
		again := front.PromptParts(strings.Join(written, ","))
		if len(written) > 0 && strings.Join(written, ",") != "" && len(again) != len(parts) {
			t.Fatalf("%q was read as %v", written, again)
		}
		for at, part := range again {
			if part.GetId() != parts[at].GetId() || part.GetTokens() != parts[at].GetTokens() {
				t.Fatalf("%q was read as %v", written, again)
			}
		}
	})
}
