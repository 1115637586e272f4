package wigeonfake

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// FetchCounts returns the sum of the run counts of the backend servers (host:port), read from their control endpoints. On
// an error it returns the sum of the servers read so far.
func FetchCounts(ctx context.Context, servers []string) (RunCounts, error) {
	sum := newRunCounts()
	for _, server := range servers {
		state, err := fetchState(ctx, server)
		if err != nil {
			return sum, fmt.Errorf("backend server %s: %w", server, err)
		}
		sum.Add(state.Runs)
	}
	return sum, nil
}

func fetchState(ctx context.Context, server string) (BackendState, error) {
	var state BackendState
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+server+ControlPath, nil)
	if err != nil {
		return state, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return state, err
	}
	defer response.Body.Close() //nolint:errcheck // the body is only read
	if response.StatusCode != http.StatusOK {
		return state, fmt.Errorf("status %d", response.StatusCode)
	}
	return state, json.NewDecoder(response.Body).Decode(&state)
}
