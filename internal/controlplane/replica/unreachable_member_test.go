package replica

import (
	"context"
	"errors"
	"testing"
)

func TestAnAddressWithoutACoreProcessIsNotAdded(t *testing.T) {
	runScenario(t, func(f *fleet) {
		leader := f.foundCluster(3)
		var unreachable *MemberUnreachableError
		_, err := leader.replica.AddMember(context.Background(), "127.0.0.1:9")
		if !errors.As(err, &unreachable) || unreachable.Address != "127.0.0.1:9" {
			t.Errorf("adding an address without a process returned %v, want a MemberUnreachableError for it", err)
		}
		if members := leader.members(); len(members) != 3 {
			t.Errorf("the members are %v, want three", members)
		}
	})
}
