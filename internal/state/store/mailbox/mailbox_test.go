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
		t.Errorf("commands ran in order %v, want all %d in the order of posting", got, count)
	}
}

func TestCommandsAreDroppedAfterClose(t *testing.T) {
	m := New()
	m.Post(func() { t.Error("a command that was queued before Close ran, want it dropped") })
	m.Close()
	m.Post(func() { t.Error("a command that was posted after Close ran, want it dropped") })
	m.Run()
}
