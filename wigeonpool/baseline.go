package wigeonpool

import "time"

// FixedHeadroom returns the baseline that keeps a fixed share of workers above what the documents ask for, whatever
// they want to survive. Together with wigeonmaintenance.BatchPolicy(1) it is the common practice of one VM at a time.
func FixedHeadroom(percent int) Config {
	return Config{Target: func(_ *Fleet, pool *Pool) int {
		if len(pool.Services) == 0 {
			return 0
		}
		return pool.Workers + (pool.Workers*percent+99)/100
	}}
}

// GreedyMoves returns the baseline that moves a VM as soon as a pool's load exceeds its VMs and gives it back at once.
func GreedyMoves() Config {
	return Config{Wait: func(*Pool) time.Duration { return time.Second }, SurplusFactor: 1}
}
