package ledger

import "github.com/rosestand/rosestand/internal/protocol"

func validatePin(program string, pin *protocol.PinTrainingStep) error {
	if err := checkStepName("pin_training_step.step", pin.GetStep()); err != nil {
		return err
	}
	if err := checkStepProgram(program, pin.GetStep()); err != nil {
		return err
	}
	if pin.GetWeightVersion() == 0 {
		return nil
	}
	return checkIdentifiers(
		"pin_training_step.model", pin.GetModel(),
		"pin_training_step.owner", pin.GetOwner())
}

func validateTrace(program string, trace *protocol.TraceTrainingStep) error {
	if err := checkStepName("trace_training_step.step", trace.GetStep()); err != nil {
		return err
	}
	return checkStepProgram(program, trace.GetStep())
}

func validateStepReference(reference *protocol.TrainingStepReference) error {
	if reference == nil {
		return nil
	}
	if err := checkStepName("reserve_turn.training_step.step", reference.GetStep()); err != nil {
		return err
	}
	if reference.GetWeightVersion() == 0 {
		return &InvalidOperationError{Path: "reserve_turn.training_step.weight_version", Reason: "missing"}
	}
	return nil
}

func checkStepProgram(program, step string) error {
	if program != TrainingStepProgram(step) {
		return &InvalidOperationError{Path: "program", Reason: "is not the register of the training step"}
	}
	return nil
}

func checkStepName(path, step string) error {
	if step == "" {
		return &InvalidOperationError{Path: path, Reason: "missing"}
	}
	if len(step) > MaxTrainingStepBytes {
		return &InvalidOperationError{Path: path, Reason: "longer than the name of a training step may be"}
	}
	return nil
}

func checkWeightVersions(path string, versions []uint64) error {
	if len(versions) > MaxWeightVersions {
		return &InvalidOperationError{Path: path, Reason: "more versions than a turn may name"}
	}
	return nil
}
