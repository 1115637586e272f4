package wigeonpool

import "time"

// FixedHeadroom returns a baseline for comparison: the target of a pool is the workers that its documents ask for plus a
// fixed percentage, whatever failure domain the documents name. With wigeonmaintenance.BatchPolicy(1) it stands for the
// common practice of maintaining one VM at a time.
func FixedHeadroom(percent int) Config {
	return Config{Target: func(_ *Fleet, pool *Pool) int {
		if len(pool.Services) == 0 {
			return 0
		}
		return pool.Workers + (pool.Workers*percent+99)/100
	}}
}

// GreedyMoves returns a baseline for comparison, which moves a VM after 1 s of a shortage and returns it after 1 s of a
// surplus.
func GreedyMoves() Config {
	return Config{Wait: func(*Pool) time.Duration { return time.Second }, SurplusFactor: 1}
}
