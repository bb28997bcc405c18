package memorybudget_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosestand/rosestand/internal/transport/memorybudget"
)

const (
	mebibyte = 1 << 20
	limit    = 8 * mebibyte
	// largeLimit is what large accounts may hold of limit.
	largeLimit = 6 * mebibyte
	small      = 10 << 10
)

func expectGrown(t *testing.T, account *memorybudget.Account, bytes int64) {
	t.Helper()
	if err := account.Grow(t.Context(), bytes); err != nil {
		t.Fatal(err)
	}
}

func expectUsed(t *testing.T, budget *memorybudget.Budget, want int64) {
	t.Helper()
	if used := budget.Usage().UsedBytes; used != want {
		t.Fatalf("%d bytes are used, want %d", used, want)
	}
}

func TestSmallAccountsFindRoomWhileLargeOnesFillTheBudget(t *testing.T) {
	budget := memorybudget.New(limit)
	expectGrown(t, budget.Open(), largeLimit)
	if budget.Open().TryGrow(mebibyte) {
		t.Error("a large account got the part of small ones")
	}
	for range 100 {
		expectGrown(t, budget.Open(), small)
	}
	expectUsed(t, budget, largeLimit+100*small)
}

func TestSumNeverExceedsTheLimit(t *testing.T) {
	budget := memorybudget.New(limit)
	granted := 0
	for range 2 * limit / small {
		if budget.Open().TryGrow(small) {
			granted++
		}
	}
	if granted != limit/small {
		t.Errorf("%d accounts of %d bytes fit into %d", granted, small, limit)
	}
}

func TestAnAccountThatCanNeverFitIsRefusedAtOnce(t *testing.T) {
	var tooLarge *memorybudget.TooLargeError
	if err := memorybudget.New(limit).Open().Grow(t.Context(), largeLimit+1); !errors.As(err, &tooLarge) {
		t.Errorf("got %v", err)
	}
}

func TestWaitersAreServedInTheirOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := memorybudget.New(limit)
		holder := budget.Open()
		expectGrown(t, holder, largeLimit)
		served := make(chan int, 2)
		for number, bytes := range []int64{5 * mebibyte, mebibyte} {
			go func() {
				if budget.Open().Grow(t.Context(), bytes) == nil {
					served <- number
				}
			}()
			synctest.Wait()
		}
		if budget.Open().TryGrow(mebibyte) {
			t.Error("an account was served before the waiters")
		}
		holder.Release()
		synctest.Wait()
		if len(served) != 2 {
			t.Errorf("%d waiters were served", len(served))
		}
	})
}

func TestAWaiterGivesUpWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := memorybudget.New(limit)
		expectGrown(t, budget.Open(), largeLimit)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		var exceeded *memorybudget.ExceededError
		if err := budget.Open().Grow(ctx, mebibyte); !errors.As(err, &exceeded) {
			t.Errorf("got %v", err)
		}
		expectUsed(t, budget, largeLimit)
	})
}

func TestTheAccountWithoutProgressGivesWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := memorybudget.New(limit)
		stalled, moving := budget.Open(), budget.Open()
		for _, account := range []*memorybudget.Account{stalled, moving} {
			expectGrown(t, account, 3*mebibyte)
		}
		stalled.AllowEviction(stalled.Release)
		moving.AllowEviction(func() { t.Error("an account that makes progress was evicted") })
		moves := time.NewTicker(100 * time.Millisecond)
		defer moves.Stop()
		waited := make(chan error, 1)
		go func() { waited <- budget.Open().Grow(t.Context(), 2*mebibyte) }()
		for {
			select {
			case <-moves.C:
				moving.RecordProgress(8 << 10)
				continue
			case err := <-waited:
				if err != nil {
					t.Error(err)
				}
			}
			break
		}
		if evicted := budget.Usage().Evicted; evicted != 1 {
			t.Errorf("%d accounts were evicted", evicted)
		}
	})
}

func TestAWaiterCanBeEvicted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := memorybudget.New(limit)
		const waiters = 3
		errs := make(chan error, waiters)
		var accounts []*memorybudget.Account
		for range waiters {
			account := budget.Open()
			expectGrown(t, account, 2*mebibyte)
			account.AllowEviction(func() {})
			accounts = append(accounts, account)
		}
		for _, account := range accounts {
			go func() {
				err := account.Grow(t.Context(), 2*mebibyte)
				account.Release()
				errs <- err
			}()
		}
		served := 0
		for range waiters {
			err := <-errs
			if err == nil {
				served++
				continue
			}
			if _, evicted := errors.AsType[*memorybudget.EvictedError](err); !evicted {
				t.Errorf("got %v", err)
			}
		}
		if served == 0 || served == waiters {
			t.Errorf("%d of %d were served", served, waiters)
		}
	})
}

func TestAnAccountThatIsServedIsNotEvicted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := memorybudget.New(limit)
		served := budget.Open()
		expectGrown(t, served, largeLimit)
		served.AllowEviction(func() { t.Error("evicted") })
		if !served.ForbidEviction() {
			t.Error("the account counts as evicted")
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		if budget.Open().Grow(ctx, mebibyte) == nil {
			t.Error("room for more than the limit")
		}
	})
}

func TestANilBudgetIsUnlimited(t *testing.T) {
	var budget *memorybudget.Budget
	account := budget.Open()
	account.AllowEviction(func() { t.Error("evicted") })
	expectGrown(t, account, 1<<60)
	account.RecordProgress(1)
	account.Release()
}
