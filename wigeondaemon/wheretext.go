package wigeondaemon

import (
	"fmt"
	"io"
	"strings"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonshard"
)

// WriteText writes the answer for a person.
func (a WhereAnswer) WriteText(out io.Writer) error {
	var b strings.Builder
	if a.Refusal != "" {
		fmt.Fprintf(&b, "queue %s: the job would be refused with %s\n", a.Queue, a.Refusal)
	} else {
		fmt.Fprintf(&b, "queue %s, service %s, partition %d, owner %s\n", a.Queue, a.Service, a.Partition, a.Owner)
	}
	if a.Known != "" {
		fmt.Fprintf(&b, "a job with the id is known and %s; nothing would be placed\n", a.Known)
	}
	if a.Placement != nil {
		writePlacement(&b, a.Placement)
	}
	_, err := io.WriteString(out, b.String())
	return err
}

func writePlacement(b *strings.Builder, p *wigeonshard.Placement) {
	if t := p.Team; t != nil {
		fmt.Fprintf(b, "team %s, weight %g: share %.1f%% of this shard, fair share %.1f%%, %s in use here, limit of all shards %s (0 for none)\n",
			t.Name, t.Weight, 100*t.Share, 100*t.FairShare, resourcesText(t.Use), resourcesText(t.Limit))
	}
	for _, s := range p.Steps {
		fmt.Fprintf(b, "step %d, %d tasks\n", s.Step, s.Tasks)
		if s.WaitsFor != "" {
			fmt.Fprintf(b, "  waits for %s\n", s.WaitsFor)
		}
		if s.Suitable > 0 {
			fmt.Fprintf(b, "  %d workers could take one now, best first:\n", s.Suitable)
		}
		for i, w := range s.Workers {
			fmt.Fprintf(b, "  %d. %s, free %s", i+1, w.Worker, resourcesText(w.Free))
			if w.Against != "" {
				fmt.Fprintf(b, "; %s", w.Against)
			}
			b.WriteByte('\n')
		}
		for _, u := range s.Unsuitable {
			fmt.Fprintf(b, "  not %d workers, %s: %s\n", u.Count, u.Reason, workersText(u))
		}
	}
	if p.MoreSteps > 0 {
		fmt.Fprintf(b, "%d more steps are not explained\n", p.MoreSteps)
	}
}

func resourcesText(r wigeonstep.Resources) string {
	return fmt.Sprintf("%d millicores, %d MB, %d GPUs", r.CPU, r.Memory, r.GPU)
}

func workersText(u wigeonshard.UnsuitableWorkers) string {
	text := strings.Join(workerStrings(u.Workers), " ")
	if more := u.Count - len(u.Workers); more > 0 {
		text += fmt.Sprintf(" and %d more", more)
	}
	return text
}
