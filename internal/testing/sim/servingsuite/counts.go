package servingsuite

// Count names an effect of a run; tests check that each scenario had all of its effects.
type Count string

// Counts, by the scenario that causes them.
const (
	// Of ScenarioBursts.
	Bursts       Count = "bursts"
	UrgentBursts Count = "urgent herds"

	// Of ScenarioServerFaults.
	ServersReleased      Count = "servers released"
	AddressesTakenOver   Count = "addresses taken over"
	ServersCrashed       Count = "servers crashed"
	GreyAnswers          Count = "grey answers"
	GreyGroups           Count = "grey groups"
	ExchangedAnswers     Count = "exchanged answers"
	LostAnswers          Count = "answers lost"
	LateAnswers          Count = "answers late"
	Flaps                Count = "flaps"
	MisroutedConnections Count = "misdirected connections"
	Ejections            Count = "ejections"

	// Of ScenarioProcessFaults.
	FrontFaults   Count = "front nodes struck"
	CoreFaults    Count = "core struck"
	LostAuthority Count = "authority lost"

	// Of ScenarioOperatorOrders.
	RoutesAdded          Count = "routes added"
	LostRaces            Count = "races lost"
	RepeatedOrders       Count = "orders repeated"
	InvalidOrders        Count = "invalid orders"
	LostAcknowledgements Count = "acknowledgements lost"

	// Of ScenarioStoreFaults.
	StoreFaults Count = "store struck"

	// Of several.
	FencedAtServers   Count = "fenced at servers"
	JoinedTurns       Count = "turns joined"
	RetainedTurnsRead Count = "kept turns read"
	Requests          Count = "requests"
	Completed         Count = "completed"
	Rejections        Count = "refusals"
	UnknownOutcomes   Count = "unknown outcomes"
)

// Counts lists the effects that the scenario must have in its runs.
func (s Scenario) Counts() []Count {
	switch s {
	case ScenarioBursts:
		return []Count{Bursts, UrgentBursts}
	case ScenarioServerFaults:
		return []Count{
			ServersReleased, AddressesTakenOver, ServersCrashed, GreyAnswers, GreyGroups, ExchangedAnswers, LostAnswers,
			LateAnswers,
			Flaps, MisroutedConnections, Ejections,
		}
	case ScenarioProcessFaults:
		return []Count{FrontFaults, CoreFaults, LostAuthority}
	case ScenarioOperatorOrders:
		return []Count{RoutesAdded, LostRaces, RepeatedOrders, InvalidOrders, LostAcknowledgements}
	case ScenarioStoreFaults:
		return []Count{StoreFaults}
	default:
		return nil
	}
}

func (s *suite) count(name Count) { s.counts[name]++ }
