package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
)

// Replace puts an empty machine with a new name and new addresses in the place
// of a core member, whose process must have ended for good. It is not started.
func (f *Fleet) Replace(ctx context.Context, member *Member, random *rand.Rand) (*Member, error) {
	if p := f.Process(member); p != nil && p.Running() {
		return nil, &RunningError{Name: member.Name}
	}
	ports, err := freePorts(ctx, 2, random)
	if err != nil {
		return nil, err
	}
	f.replaced++
	fresh := &Member{
		Name: fmt.Sprintf("%s-new-%d", member.Kind, f.replaced), Kind: member.Kind, Zone: member.Zone,
		Internal: ports[0], HTTP: ports[1],
	}
	if err := f.addRelays(ctx, fresh); err != nil {
		return nil, err
	}
	f.members[slices.Index(f.members, member)] = fresh
	delete(f.processes, member.Name)
	return fresh, f.writeSettings(fresh)
}
