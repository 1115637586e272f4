package wigeonoperator

import (
	"context"
	"fmt"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// StartWave proposes a maintenance wave of the pool without waiting until one is due, and returns its ID. The error wraps
// wigeonstep.ErrRejected when the pool has no VM or its last wave has not ended.
func StartWave(ctx context.Context, follower Follower, pool wigeonstep.PoolName) (wigeonstep.WaveID, error) {
	wave := wigeonstep.WaveID(fmt.Sprintf("%s-at-%d", pool, follower.View().NextOffset))
	_, err := follower.Propose(ctx, &wigeonwire.Entry{Body: &wigeonwire.Entry_WaveStart{
		WaveStart: &wigeonwire.WaveStart{Wave: string(wave), Pool: string(pool)},
	}})
	if err != nil {
		return "", fmt.Errorf("start a wave in pool %s: %w", pool, err)
	}
	return wave, nil
}
