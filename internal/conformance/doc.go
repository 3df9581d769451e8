// Package conformance ties the models under spec/ to the code. It holds tests only.
//
// Each test draws random schedules of a model's actions and applies them to the code and to a reference, which states
// the rules of the model in Go with the names of its actions. A step of the code that the reference doesn't allow fails
// the test. docs/model-checking.md lists which function implements which action.
//
// Traces printed by the model checker's simulation were considered as input as well. They were not chosen: a random
// walk of the model spends most of its steps on actions that have no effect, a trace holds no times, which the code
// needs, and a committed trace goes out of date with the next change of a model without a test that shows it. Schedules
// drawn from the same actions reach more states and shrink to short examples.
package conformance
