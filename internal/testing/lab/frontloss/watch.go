package frontloss

import (
	"context"
	"net/http"
	"time"

	"github.com/rosestand/rosestand/internal/testing/lab/scrape"
)

const (
	watchInterval = 100 * time.Millisecond
	fetchTimeout  = time.Second

	salvageLength = "rosestand_directory_salvage_list_length"
	salvagedTotal = "rosestand_directory_salvaged_total"
)

// Watch reads the salvage lists of the front nodes at the addresses until the
// context ends. It returns the time from the loss until the lists were empty
// for good, negative when none was ever seen filled, and how many sessions were
// registered again.
func Watch(ctx context.Context, addresses []string, lost time.Time) (reregistered time.Duration, salvaged int) {
	client := &http.Client{Timeout: fetchTimeout}
	defer client.CloseIdleConnections()
	reregistered = -1
	first, last := -1.0, 0.0
	waiting := false
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		length, total := read(ctx, client, addresses)
		if ctx.Err() != nil {
			return reregistered, int(last - max(first, 0))
		}
		if first < 0 {
			first = total
		}
		last = total
		if length > 0 {
			waiting = true
		}
		if length == 0 && waiting {
			reregistered = time.Since(lost)
			waiting = false
		}
		select {
		case <-ctx.Done():
			return reregistered, int(last - first)
		case <-ticker.C:
		}
	}
}

func read(ctx context.Context, client *http.Client, addresses []string) (length, total float64) {
	for _, address := range addresses {
		metrics, err := scrape.Fetch(ctx, client, address)
		if err != nil {
			continue
		}
		length += metrics.Sum(salvageLength)
		total += metrics.Sum(salvagedTotal)
	}
	return length, total
}
