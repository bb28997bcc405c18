package caller

import (
	"math/rand/v2"
	"time"

	"github.com/rosestand/rosestand/internal/testing/lab/site"
)

// Load sets how conversations arrive: without waiting for earlier ones to end.
type Load struct {
	// ConversationsPerSecond outside of bursts, over all sites of the run.
	ConversationsPerSecond float64 `json:"conversations_per_second"`
	// BurstFactor multiplies the rate during bursts; 1 or less means none.
	BurstFactor       float64 `json:"burst_factor"`
	BurstEveryMillis  int     `json:"burst_every_millis"`
	BurstLengthMillis int     `json:"burst_length_millis"`
	// MaxConversations bounds those under way at once.
	MaxConversations int `json:"max_conversations"`
}

// DefaultLoad fits the small fleet.
func DefaultLoad() Load {
	return Load{
		ConversationsPerSecond: 12, BurstFactor: 4, BurstEveryMillis: 5000, BurstLengthMillis: 500,
		MaxConversations: 2000,
	}
}

// Arrival is one conversation and the time after the start at which it opens.
type Arrival struct {
	At           time.Duration
	Conversation Conversation
}

const maxArrivals = 1_000_000

// Plan makes the conversations of a run; equal arguments give equal plans.
// Run is a label that keeps the ids of different runs apart.
func Plan(name site.Name, load Load, shape Shape, duration time.Duration, zones int, seed uint64,
	run string,
) ([]Arrival, error) {
	parts, err := site.Parts(name)
	if err != nil {
		return nil, err
	}
	if load.ConversationsPerSecond <= 0 {
		return nil, nil
	}
	const stream = 1
	random := rand.New(rand.NewPCG(seed, stream))
	w := &writer{random: random, shape: shape, run: run}
	var arrivals []Arrival
	at := time.Duration(0)
	for len(arrivals) < maxArrivals {
		gap := random.ExpFloat64() / load.rateAt(at)
		at += time.Duration(gap * float64(time.Second))
		if at >= duration {
			break
		}
		site := parts[random.IntN(len(parts))]
		arrivals = append(arrivals, Arrival{At: at, Conversation: w.conversation(site, zones)})
	}
	return arrivals, nil
}

func (l Load) rateAt(at time.Duration) float64 {
	every := time.Duration(l.BurstEveryMillis) * time.Millisecond
	length := time.Duration(l.BurstLengthMillis) * time.Millisecond
	if l.BurstFactor <= 1 || every <= 0 || at%every >= length {
		return l.ConversationsPerSecond
	}
	return l.ConversationsPerSecond * l.BurstFactor
}
