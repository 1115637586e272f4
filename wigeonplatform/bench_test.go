package wigeonplatform_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonfake"
	"github.com/wigeonstep/wigeonstep/wigeonplatform"
)

// BenchmarkRead measures reads of records of 200 bytes, for several numbers of records per read. The time includes client
// and server. The ratio compares it with a read of the same records without HTTP in the same run.
func BenchmarkRead(b *testing.B) {
	for _, records := range []int{1, 15, 1000} {
		b.Run(fmt.Sprintf("records=%d", records), func(b *testing.B) {
			platform, client, _ := startPlatform(b)
			platform.SetFaults(wigeonfake.Faults{AppendsPerSecond: -1})
			for range 1000 {
				_, err := platform.Append(b.Context(), wigeonstep.FleetStream, make([]byte, 200))
				qt.Assert(b, err, qt.IsNil)
			}
			read := func(log wigeonstep.Log) {
				got, err := log.Read(b.Context(), wigeonstep.FleetStream, 0, records, 0)
				if err != nil || len(got.Records) != records {
					b.Fatalf("read %d records: %v", len(got.Records), err)
				}
			}
			startTime := time.Now()
			for range 1000 {
				read(platform)
			}
			baseline := float64(time.Since(startTime).Nanoseconds()) / 1000
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				read(client)
			}
			perRead := float64(b.Elapsed().Nanoseconds()) / float64(b.N)
			b.ReportMetric(perRead/baseline, "x_in_process")
		})
	}
}

// BenchmarkListVMs measures a call for the VM list of a fleet of the target size without changes. It reports the size of
// a response with the complete list and of one without changes.
func BenchmarkListVMs(b *testing.B) {
	platform, client, address := startPlatform(b)
	for i := range 7300 {
		platform.AddVM(wigeonstep.ListedVM{
			ID: wigeonstep.VMID(fmt.Sprintf("vm-%04d", i)), DataCentre: "dc1", Rack: "rack-100", Pool: "orders", Address: "127.0.0.1:12345",
			Shape: wigeonstep.Shape{Cores: 32, MemoryGB: 64, Slots: 8, Connections: 64},
		})
	}
	fetch := func(since string) []byte {
		response, err := http.Get("http://" + address + wigeonplatform.PathVMs + "?since=" + since)
		qt.Assert(b, err, qt.IsNil)
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		qt.Assert(b, err, qt.IsNil)
		return body
	}
	whole := fetch("")
	var changes wigeonplatform.VMChanges
	qt.Assert(b, json.Unmarshal(whole, &changes), qt.IsNil)
	unchanged := fetch(changes.Token)
	list, err := client.ListVMs(b.Context())
	qt.Assert(b, err, qt.IsNil)
	qt.Assert(b, list.VMs, qt.HasLen, 7300)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		if _, err := client.ListVMs(b.Context()); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(whole)), "B/whole")
	b.ReportMetric(float64(len(unchanged)), "B/unchanged")
}
