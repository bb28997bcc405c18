package wait_test

import (
	"context"
	"testing"
	"time"

	"github.com/rosestand/rosestand/internal/testing/lab/wait"
)

func TestFor(t *testing.T) {
	ended, end := context.WithCancel(context.Background())
	end()
	cases := []struct {
		name   string
		ctx    context.Context
		length time.Duration
		want   bool
	}{
		{"nothing to wait for", context.Background(), 0, true},
		{"a length in the past", context.Background(), -time.Hour, true},
		{"a short length", context.Background(), time.Nanosecond, true},
		{"an ended context", ended, time.Hour, false},
		{"an ended context and nothing to wait for", ended, 0, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := wait.For(c.ctx, c.length); got != c.want {
				t.Fatalf("For: got %v, want %v", got, c.want)
			}
		})
	}
}

func TestUntil(t *testing.T) {
	ended, end := context.WithCancel(context.Background())
	end()
	if !wait.Until(context.Background(), time.Now().Add(-time.Second)) {
		t.Fatal("a moment that has passed was waited for")
	}
	if wait.Until(ended, time.Now().Add(time.Hour)) {
		t.Fatal("an ended context did not end the wait")
	}
}
