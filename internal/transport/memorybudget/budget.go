package memorybudget

import (
	"container/list"
	"context"
	"fmt"
	"sync"
	"time"
)

const (
	// smallAccountBytes is the size up to which an account may use the part of the budget that is reserved.
	smallAccountBytes = 64 << 10
	// reservedDivisor makes a quarter of the budget the reserved part.
	reservedDivisor = 4
	// progressBytes is how much an account must move to count as making progress.
	progressBytes = 4 << 10
	// stalledAfter is how long an account may be without progress before it can be evicted.
	stalledAfter = time.Second
	// evictionInterval is how long an account waits before it evicts another one, and between two evictions. A process
	// that was frozen reads in this time what has arrived meanwhile.
	evictionInterval = 200 * time.Millisecond
)

// Budget is the memory that all accounts of a process may hold. A nil Budget is unlimited.
type Budget struct {
	limit int64

	// mutex guards the fields below and those of the accounts.
	mutex sync.Mutex
	used  int64
	// largeUsed is the part of used that belongs to accounts of more than smallAccountBytes.
	largeUsed int64
	// waiters are the *waiter in the order of arrival, waitingBytes what they wait for together.
	waiters      *list.List
	waitingBytes int64
	// evictingBytes is what evicted accounts have not released yet.
	evictingBytes int64
	// evictable are the accounts that may be evicted, as *Account, the one with the oldest progress first.
	evictable *list.List
	evicted   uint64
	refused   uint64
}

// waiter is an account that waits to grow.
type waiter struct {
	account *Account
	bytes   int64
	// element is the waiter's place among the waiters.
	element *list.Element
	granted chan struct{}
	// evicted is closed when the account is evicted.
	evicted chan struct{}
}

// New returns a budget of so many bytes.
func New(limit int64) *Budget {
	return &Budget{limit: limit, waiters: list.New(), evictable: list.New()}
}

// ExceededError is returned when the budget has no room for an account.
type ExceededError struct {
	// Bytes is what was asked for, Limit that of the budget.
	Bytes int64
	Limit int64
}

// Error implements error.
func (e *ExceededError) Error() string {
	return fmt.Sprintf("no memory for %d bytes in a budget of %d", e.Bytes, e.Limit)
}

// TooLargeError is returned for an account that could not grow even if it were the only one.
type TooLargeError struct {
	// Bytes is what was asked for, Limit what large accounts may hold.
	Bytes int64
	Limit int64
}

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("%d bytes are more than the %d that a request may hold", e.Bytes, e.Limit)
}

// EvictedError is returned to an account that had to give way to another one.
type EvictedError struct{}

// Error implements error.
func (e *EvictedError) Error() string { return "the memory was given to another request" }

// Usage is what a budget was used for.
type Usage struct {
	// LimitBytes and UsedBytes are the size of the budget and the sum of all accounts.
	LimitBytes int64
	UsedBytes  int64
	// Evicted counts the accounts that gave way, Refused those that waited in vain or could never grow as wanted.
	Evicted uint64
	Refused uint64
}

// Usage returns what the budget was used for until now.
func (b *Budget) Usage() Usage {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return Usage{LimitBytes: b.limit, UsedBytes: b.used, Evicted: b.evicted, Refused: b.refused}
}

// Open returns an empty account. Close releases what it holds.
func (b *Budget) Open() *Account { return &Account{budget: b} }

// Account is what one request holds of the budget. A nil Account, and one of a nil Budget, is unlimited.
type Account struct {
	budget *Budget

	// The budget's mutex guards the fields below.
	bytes int64
	// evict ends what the account is for; nil unless it can be evicted.
	evict func()
	// element is the account's place in the list of evictable accounts; nil unless it is in the list.
	element *list.Element
	// progressed is when the account last made progress, moved how many bytes it has moved since.
	progressed time.Time
	moved      int64
	isEvicted  bool
	// waiting is the account's place among the waiters; nil unless it waits.
	waiting *waiter
}

func (a *Account) unlimited() bool { return a == nil || a.budget == nil }

// TryGrow adds bytes to the account if there is room now.
func (a *Account) TryGrow(bytes int64) bool {
	if a.unlimited() {
		return true
	}
	b := a.budget
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if a.isEvicted || b.waiters.Len() > 0 && a.bytes+bytes > smallAccountBytes || !b.fits(a, bytes) {
		return false
	}
	b.add(a, bytes)
	return true
}

// Grow adds bytes to the account, and waits for room until the context ends. The error is a *TooLargeError, an
// *ExceededError or an *EvictedError; the account keeps what it had.
func (a *Account) Grow(ctx context.Context, bytes int64) error {
	if a.unlimited() {
		return nil
	}
	b := a.budget
	b.mutex.Lock()
	if a.isEvicted {
		b.mutex.Unlock()
		return &EvictedError{}
	}
	if b.fits(a, bytes) && (b.waiters.Len() == 0 || a.bytes+bytes <= smallAccountBytes) {
		b.add(a, bytes)
		b.mutex.Unlock()
		return nil
	}
	if a.bytes+bytes > b.largeLimit() {
		b.refused++
		b.mutex.Unlock()
		return &TooLargeError{Bytes: bytes, Limit: b.largeLimit()}
	}
	waiting := &waiter{account: a, bytes: bytes, granted: make(chan struct{}), evicted: make(chan struct{})}
	waiting.element = b.waiters.PushBack(waiting)
	b.waitingBytes += bytes
	a.waiting = waiting
	b.mutex.Unlock()
	return b.wait(ctx, waiting)
}

// wait waits until the waiter has its room, and evicts stalled accounts meanwhile.
func (b *Budget) wait(ctx context.Context, waiting *waiter) error {
	ticker := time.NewTicker(evictionInterval)
	defer ticker.Stop()
	for {
		select {
		case <-waiting.granted:
			return nil
		case <-ctx.Done():
			return b.giveUp(waiting)
		case <-waiting.evicted:
			return b.giveUp(waiting)
		case <-ticker.C:
			b.evictStalled(waiting)
		}
	}
}

// giveUp removes a waiter. It returns nil if the waiter got its room at the same time.
func (b *Budget) giveUp(waiting *waiter) error {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	select {
	case <-waiting.granted:
		return nil
	default:
	}
	b.refused++
	if waiting.account.isEvicted {
		return &EvictedError{}
	}
	b.removeWaiter(waiting)
	b.grantWaiters()
	return &ExceededError{Bytes: waiting.bytes, Limit: b.limit}
}

func (b *Budget) removeWaiter(waiting *waiter) {
	b.waiters.Remove(waiting.element)
	b.waitingBytes -= waiting.bytes
	waiting.account.waiting = nil
}

// evictStalled evicts accounts without progress. Only the first waiter evicts, on behalf of all.
func (b *Budget) evictStalled(waiting *waiter) {
	for _, evict := range b.selectStalled(waiting) {
		evict()
	}
}

// selectStalled marks the accounts to evict and returns their functions. It takes those that wait for their client,
// the one with the oldest progress first, until there will be room for all waiters. Where none does, waiters hold up
// each other, and the oldest of them gives way to the first one.
func (b *Budget) selectStalled(waiting *waiter) []func() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if front := b.waiters.Front(); front == nil || front.Value.(*waiter) != waiting {
		return nil
	}
	var evictions []func()
	for _, victim := range b.stalled() {
		if victim.waiting == nil && b.evictingBytes < b.waitingBytes {
			evictions = append(evictions, b.markEvicted(victim))
		}
	}
	if b.evictingBytes > 0 {
		return evictions
	}
	for _, victim := range b.stalled() {
		if victim != waiting.account && b.evictingBytes < waiting.bytes {
			evictions = append(evictions, b.markEvicted(victim))
		}
	}
	return evictions
}

// stalled returns the accounts that may be evicted now, the one with the oldest progress first.
func (b *Budget) stalled() []*Account {
	var stalled []*Account
	since := time.Now().Add(-stalledAfter)
	for element := b.evictable.Front(); element != nil; element = element.Next() {
		account := element.Value.(*Account)
		if account.progressed.After(since) {
			break
		}
		stalled = append(stalled, account)
	}
	return stalled
}

// markEvicted marks an account and returns the function that ends what it is for. What it holds is released when it is
// closed; what it waits for, it will not get.
func (b *Budget) markEvicted(victim *Account) func() {
	victim.removeEvictable()
	victim.isEvicted = true
	b.evictingBytes += victim.bytes
	b.evicted++
	if waiting := victim.waiting; waiting != nil {
		b.removeWaiter(waiting)
		close(waiting.evicted)
	}
	return victim.evict
}

// largeLimit is what all large accounts may hold together.
func (b *Budget) largeLimit() int64 { return b.limit - b.limit/reservedDivisor }

// fits reports whether an account may grow by so many bytes now.
func (b *Budget) fits(account *Account, bytes int64) bool {
	if b.used+bytes > b.limit {
		return false
	}
	grown := account.bytes + bytes
	if grown <= smallAccountBytes {
		return true
	}
	return b.largeUsed-account.largePart()+grown <= b.largeLimit()
}

func (a *Account) largePart() int64 {
	if a.bytes > smallAccountBytes {
		return a.bytes
	}
	return 0
}

// add changes what an account holds; bytes may be negative.
func (b *Budget) add(account *Account, bytes int64) {
	b.largeUsed -= account.largePart()
	account.bytes += bytes
	b.largeUsed += account.largePart()
	b.used += bytes
}

// grantWaiters gives the waiters their room in the order of arrival. A large one that finds no room holds up the large
// ones behind it, but no small one.
func (b *Budget) grantWaiters() {
	heldUp := false
	for element := b.waiters.Front(); element != nil; {
		waiting, next := element.Value.(*waiter), element.Next()
		large := waiting.account.bytes+waiting.bytes > smallAccountBytes
		switch {
		case large && heldUp:
		case b.fits(waiting.account, waiting.bytes):
			b.add(waiting.account, waiting.bytes)
			b.removeWaiter(waiting)
			waiting.account.recordMove()
			close(waiting.granted)
		case large:
			heldUp = true
		}
		element = next
	}
}

// AllowEviction lets the account be evicted while it makes no progress. evict must end what the account is for, so that
// the account is closed; it is called once at most and must not block.
func (a *Account) AllowEviction(evict func()) {
	if a.unlimited() {
		return
	}
	b := a.budget
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if a.isEvicted || a.element != nil {
		return
	}
	a.evict, a.progressed, a.moved = evict, time.Now(), 0
	a.element = b.evictable.PushBack(a)
}

// ForbidEviction keeps what the account holds until it is closed. It reports false if the account was evicted before.
func (a *Account) ForbidEviction() bool {
	if a.unlimited() {
		return true
	}
	a.budget.mutex.Lock()
	defer a.budget.mutex.Unlock()
	a.removeEvictable()
	return !a.isEvicted
}

func (a *Account) removeEvictable() {
	if a.element != nil {
		a.budget.evictable.Remove(a.element)
		a.element = nil
	}
}

// RecordProgress records that bytes have arrived for the account.
func (a *Account) RecordProgress(bytes int64) {
	if a.unlimited() {
		return
	}
	b := a.budget
	b.mutex.Lock()
	defer b.mutex.Unlock()
	a.moved += bytes
	if a.moved < progressBytes || a.element == nil {
		return
	}
	a.recordMove()
}

// recordMove makes the account the one with the newest progress.
func (a *Account) recordMove() {
	a.moved, a.progressed = 0, time.Now()
	if a.element != nil {
		a.budget.evictable.MoveToBack(a.element)
	}
}

// Release gives back what the account holds. The account can be used again, even after an eviction.
func (a *Account) Release() {
	if a.unlimited() {
		return
	}
	b := a.budget
	b.mutex.Lock()
	defer b.mutex.Unlock()
	a.removeEvictable()
	if a.isEvicted {
		b.evictingBytes -= a.bytes
		a.isEvicted = false
	}
	if a.bytes == 0 {
		return
	}
	b.add(a, -a.bytes)
	b.grantWaiters()
}
