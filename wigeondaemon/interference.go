package wigeondaemon

// countPairs sets the gauges of the pairs of images from which the owners in this process have learned.
func (d *Daemon) countPairs() {
	observed, suspected := 0, 0
	for _, sh := range d.sortedShards {
		if sh.owner != nil {
			o, s := sh.owner.InterferencePairs()
			observed, suspected = observed+o, suspected+s
		}
	}
	d.config.Metrics.observedPairs.Set(float64(observed))
	d.config.Metrics.suspectedPairs.Set(float64(suspected))
}
