package ledger

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	// trainingStepPrefix is the prefix of the program names that are reserved for the registers of training steps.
	trainingStepPrefix = "rosestand/training-step/"
	// MaxTrainingStepBytes bounds the name of a training step, so that it is a valid identifier together with the prefix.
	MaxTrainingStepBytes = 256
	// MaxWeightVersions bounds the weight versions reported for one committed or released turn.
	MaxWeightVersions = 16
	// maxGenerationCounts bounds the versions that a membership counts separately, so that servers that report ever new
	// versions cannot grow the record. Generations on further versions are counted under UnknownWeightVersion.
	maxGenerationCounts = 32
	// UnknownWeightVersion is the version under which generations are counted whose server reported none.
	UnknownWeightVersion = 0
	// PinRenewalInterval is the minimum age at which a pin's record is rewritten when an owner requests the pin, which
	// restarts its retention. An owner that caches a pin must request it again within MinPinRetention minus
	// PinRenewalInterval.
	PinRenewalInterval = time.Hour
	// MinPinRetention is the minimum time for which a pin is retained after an owner requested it, even when the request
	// sets a shorter retention.
	MinPinRetention = DefaultRetention
)

// TrainingStepProgram returns the reserved program name under which the register of a training step is stored.
func TrainingStepProgram(step string) string { return trainingStepPrefix + step }

// IsReservedProgram reports whether the program name is reserved for registers of training steps.
func IsReservedProgram(program string) bool { return strings.HasPrefix(program, trainingStepPrefix) }

// pinTrainingStep pins the weight version of a step. The first version proposed wins and never changes.
func pinTrainingStep(
	record *protocol.ProgramRecord, program string, pin *protocol.PinTrainingStep, now time.Time,
) (*protocol.ProgramRecord, *protocol.LedgerResult) {
	current := record.GetTrainingStepPin()
	switch {
	case current == nil && pin.GetWeightVersion() == 0:
		return nil, ResultWithStatus(protocol.LedgerStatus_LEDGER_STEP_UNKNOWN)
	case current == nil:
		return createPin(program, pin, now)
	case pin.GetModel() != "" && pin.GetModel() != current.GetModel():
		return nil, pinResult(protocol.LedgerStatus_LEDGER_STEP_MISMATCH, current)
	default:
		return renewPin(record, pin, now), pinResult(protocol.LedgerStatus_LEDGER_OK, current)
	}
}

func pinResult(status protocol.LedgerStatus, pin *protocol.TrainingStepPin) *protocol.LedgerResult {
	return &protocol.LedgerResult{Status: status, TrainingStepPin: pin}
}

func createPin(
	program string, pin *protocol.PinTrainingStep, now time.Time,
) (*protocol.ProgramRecord, *protocol.LedgerResult) {
	changed := newDraft(program, nil, now)
	changed.KeepingMillis = pinRetentionMillis(pin)
	changed.TrainingStepPin = &protocol.TrainingStepPin{
		Step:           pin.GetStep(),
		Model:          pin.GetModel(),
		WeightVersion:  pin.GetWeightVersion(),
		PinnedBy:       pin.GetOwner(),
		PinnedAtMillis: now.UnixMilli(),
	}
	return changed.ProgramRecord, pinResult(protocol.LedgerStatus_LEDGER_OK, changed.TrainingStepPin)
}

// renewPin returns the record with a later end of its retention, or nil when it was renewed recently and the request
// sets no longer retention. A request without an owner is a read and renews nothing.
func renewPin(record *protocol.ProgramRecord, pin *protocol.PinTrainingStep, now time.Time) *protocol.ProgramRecord {
	if pin.GetOwner() == "" {
		return nil
	}
	isFresh := now.UnixMilli() < record.GetUpdatedAtMillis()+PinRenewalInterval.Milliseconds()
	if isFresh && pinRetentionMillis(pin) <= record.GetKeepingMillis() {
		return nil
	}
	changed := newDraft(record.GetProgram(), record, now)
	changed.KeepingMillis = max(record.GetKeepingMillis(), pinRetentionMillis(pin))
	return changed.ProgramRecord
}

// pinRetentionMillis returns the retention of a pin, which is at least MinPinRetention: if the pin expired while its
// step still generates, it could be set again to another version.
func pinRetentionMillis(pin *protocol.PinTrainingStep) int64 {
	return max(pin.GetKeepingMillis(), MinPinRetention.Milliseconds())
}

// isPinRead reports whether the request changes nothing, not even the retention of the pin.
func isPinRead(pin *protocol.PinTrainingStep) bool {
	return pin.GetWeightVersion() == 0 && pin.GetOwner() == ""
}

// matchesTrainingStep reports whether a program may generate for the referenced step, or without a step when reference
// is nil. A member generates for its own step only; a program that ran turns without a step cannot join one.
func matchesTrainingStep(record *protocol.ProgramRecord, reference *protocol.TrainingStepReference) bool {
	membership := record.GetTrainingStep()
	switch {
	case reference == nil:
		return membership == nil
	case membership == nil:
		return !hasRun(record)
	default:
		return membership.GetStep() == reference.GetStep() && membership.GetWeightVersion() == reference.GetWeightVersion()
	}
}

// hasRun reports whether a turn of the program may have run.
func hasRun(record *protocol.ProgramRecord) bool {
	if record.GetSettled() > 0 || len(record.GetReservations()) > 0 {
		return true
	}
	for _, session := range record.GetSessions() {
		if session.GetTurns() > 0 {
			return true
		}
	}
	return hasRunRequest(record)
}

// stepMismatchResult returns the rejection of a turn for another step. It exposes only the program's name and its step.
func stepMismatchResult(record *protocol.ProgramRecord) *protocol.LedgerResult {
	return &protocol.LedgerResult{
		Status:  protocol.LedgerStatus_LEDGER_STEP_MISMATCH,
		Program: &protocol.ProgramRecord{Program: record.GetProgram(), TrainingStep: record.GetTrainingStep()},
	}
}

// joinTrainingStep makes the program a member of the step unless it is already a member.
func (d *draft) joinTrainingStep(reference *protocol.TrainingStepReference) {
	if reference == nil || d.TrainingStep != nil {
		return
	}
	d.TrainingStep = &protocol.TrainingStepMembership{
		Step:          reference.GetStep(),
		WeightVersion: reference.GetWeightVersion(),
	}
}

// countGeneration counts a generation of a member by the versions that its server reported. It counts as completed when
// the caller received it in full and every version is the pinned one. Otherwise it counts as discarded under each
// differing version, or under the pinned one when none differs.
func (d *draft) countGeneration(versions []uint64, completed bool) {
	if d.TrainingStep == nil {
		return
	}
	pinnedVersion := d.TrainingStep.GetWeightVersion()
	if len(versions) == 0 {
		versions = []uint64{UnknownWeightVersion}
	}
	differing := differingVersions(versions, pinnedVersion)
	switch {
	case len(differing) > 0:
		for _, version := range differing {
			d.addToCount(version, func(count *protocol.GenerationCount) { count.Discarded++ })
		}
	case completed:
		d.addToCount(pinnedVersion, func(count *protocol.GenerationCount) { count.Completed++ })
	default:
		d.addToCount(pinnedVersion, func(count *protocol.GenerationCount) { count.Discarded++ })
	}
}

// differingVersions returns the distinct versions other than the pinned one in ascending order.
func differingVersions(versions []uint64, pinnedVersion uint64) []uint64 {
	differing := slices.DeleteFunc(slices.Clone(versions), func(version uint64) bool { return version == pinnedVersion })
	slices.Sort(differing)
	return slices.Compact(differing)
}

// addToCount applies increment to a copy of the count of one version, so that the membership of the previous record
// stays unchanged.
func (d *draft) addToCount(version uint64, increment func(*protocol.GenerationCount)) {
	counts := slices.Clone(d.TrainingStep.GetGenerations())
	index, found := findCount(counts, version)
	if !found && len(counts) >= maxGenerationCounts && version != d.TrainingStep.GetWeightVersion() {
		version = UnknownWeightVersion
		index, found = findCount(counts, version)
	}
	changed := &protocol.GenerationCount{WeightVersion: version}
	if found {
		changed.Completed = counts[index].GetCompleted()
		changed.Discarded = counts[index].GetDiscarded()
		counts[index] = changed
	} else {
		counts = slices.Insert(counts, index, changed)
	}
	increment(changed)
	d.TrainingStep = &protocol.TrainingStepMembership{
		Step:          d.TrainingStep.GetStep(),
		WeightVersion: d.TrainingStep.GetWeightVersion(),
		Generations:   counts,
	}
}

// findCount returns the index of the version's count, or the index at which to insert it when found is false.
func findCount(counts []*protocol.GenerationCount, version uint64) (index int, found bool) {
	return slices.BinarySearchFunc(counts, version, func(count *protocol.GenerationCount, version uint64) int {
		return cmp.Compare(count.GetWeightVersion(), version)
	})
}

// TotalGenerations returns how many generations a membership counts. It increases with each change of the counts and
// never decreases, so of two records of one program the one with the higher total is newer.
func TotalGenerations(membership *protocol.TrainingStepMembership) uint64 {
	var total uint64
	for _, count := range membership.GetGenerations() {
		total = saturatingAdd(total, saturatingAdd(count.GetCompleted(), count.GetDiscarded()))
	}
	return total
}
