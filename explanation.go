package wigeonstep

// ObjectStatus is the status of one object, such as a job, as reported by explain.
type ObjectStatus struct {
	// Kind is the kind of the object, for example "job"; Subject is its id.
	Kind    string `json:"kind"`
	Subject string `json:"subject"`
	// State is the current state in one line; empty if it is not known.
	State string `json:"state"`
	// WaitsFor is the condition or event that the object waits for; empty if there is none.
	WaitsFor string `json:"waits_for"`
}
