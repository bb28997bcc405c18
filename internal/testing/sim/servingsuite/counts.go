package servingsuite

// Count names something that a run brought about; a bad day that is not counted did not come.
type Count string

// Counts, by the kind of bad days that brings them about.
const (
	// Of KindBursts.
	Bursts      Count = "bursts"
	UrgentHerds Count = "urgent herds"

	// Of KindServers.
	ServersReleased    Count = "servers released"
	AddressesTakenOver Count = "addresses taken over"
	ServersCrashed     Count = "servers crashed"
	GreyAnswers        Count = "grey answers"
	GreyGroups         Count = "grey groups"
	ExchangedAnswers   Count = "exchanged answers"
	LostAnswers        Count = "answers lost"
	LateAnswers        Count = "answers late"
	Flaps              Count = "flaps"
	Misdirected        Count = "misdirected connections"
	Ejections          Count = "ejections"

	// Of KindProcesses.
	FrontFaults   Count = "front nodes struck"
	CoreFaults    Count = "core struck"
	LostAuthority Count = "authority lost"

	// Of KindOrders.
	RoutesAdded          Count = "routes added"
	LostRaces            Count = "races lost"
	RepeatedOrders       Count = "orders repeated"
	InvalidOrders        Count = "invalid orders"
	LostAcknowledgements Count = "acknowledgements lost"

	// Of KindStores.
	StoreFaults Count = "store struck"

	// Of several.
	FencedAtServers Count = "fenced at servers"
	JoinedTurns     Count = "turns joined"
	KeptTurnsRead   Count = "kept turns read"
	Requests        Count = "requests"
	Completed       Count = "completed"
	Refusals        Count = "refusals"
	UnknownOutcomes Count = "unknown outcomes"
)

// CountsOf lists the counts that a kind of bad days must bring about.
func CountsOf(kind Kind) []Count {
	switch kind {
	case KindBursts:
		return []Count{Bursts, UrgentHerds}
	case KindServers:
		return []Count{
			ServersReleased, AddressesTakenOver, ServersCrashed, GreyAnswers, GreyGroups, ExchangedAnswers, LostAnswers, LateAnswers,
			Flaps, Misdirected, Ejections,
		}
	case KindProcesses:
		return []Count{FrontFaults, CoreFaults, LostAuthority}
	case KindOrders:
		return []Count{RoutesAdded, LostRaces, RepeatedOrders, InvalidOrders, LostAcknowledgements}
	case KindStores:
		return []Count{StoreFaults}
	default:
		return nil
	}
}

func (s *suite) count(name Count) { s.counts[name]++ }
