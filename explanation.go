package wigeonstep

// Standing says how a subject stands and what it waits for.
type Standing struct {
	Kind    string `json:"kind"`
	Subject string `json:"subject"`
	// State says in one line how the subject stands now; empty when it is not known.
	State string `json:"state"`
	// WaitsFor says what the subject waits for, empty when it waits for nothing.
	WaitsFor string `json:"waits_for"`
}
