package mailbox

import (
	"slices"
	"testing"
)

func TestCommandsRunInPostingOrder(t *testing.T) {
	const count = 100
	m := New()
	var got []int
	for number := range count {
		m.Post(func() { got = append(got, number) })
	}
	m.Post(m.Close)
	m.Run()
	if len(got) != count || !slices.IsSorted(got) {
		t.Errorf("ran %v", got)
	}
}

func TestCommandsAreDroppedAfterClose(t *testing.T) {
	m := New()
	m.Post(func() { t.Error("ran a command that waited when the mailbox was closed") })
	m.Close()
	m.Post(func() { t.Error("ran a command posted after Close") })
	m.Run()
}
