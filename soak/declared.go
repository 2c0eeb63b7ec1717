package soak

import (
	"context"
	"strings"
	"time"

	"wasabirelay/platform/standin"
)

const (
	// limitFactor and limitSlack are the platform's tolerance: within limitWindow a target may get
	// limitFactor times what its declared limit allows plus limitSlack requests.
	limitFactor, limitSlack = 1.5, 5
	limitWindow             = 4 * time.Second
	// declaredLimit is the limit per second that a target declares.
	declaredLimit = 10
	// drainTime is the time after a reply that says that its target leaves in which the host of the
	// reply may still send it requests.
	drainTime = time.Second
	// learnTime is the time in which every host has had a reply from each target that it uses.
	learnTime = time.Second
)

// checkDeclarations makes one target declare a limit and another one that it leaves, and checks
// that the first gets no more than that and the second nothing from hosts that know.
func (r *Run) checkDeclarations(ctx context.Context) {
	i := r.rand.IntN(len(r.targets))
	limited, leaving := r.targets[i], r.targets[(i+1)%len(r.targets)]
	limited.Declare(standin.Declaration{Limit: declaredLimit})
	leaving.Declare(standin.Declaration{Leaving: true})
	defer limited.Declare(standin.Declaration{})
	if !sleep(ctx, learnTime) {
		return
	}
	r.traffic.declare(limited.ID, leaving.ID)
	sleep(ctx, limitWindow)
}

// declare starts to check the requests that arrive at a target with a declared limit, and at one
// that says in its replies that it leaves.
func (c *traffic) declare(limited, leaving string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limited, c.limitedFrom = limited, time.Now()
	c.leaving, c.told = leaving, map[string]time.Time{}
}

// recordLeaving checks a request that arrives at a target. A host that has not asked the target
// since it leaves can't know. The caller holds c.mu.
func (c *traffic) recordLeaving(target, request, host string, now time.Time) {
	if target != c.leaving || target == "" {
		return
	}
	told, known := c.told[host]
	if !known {
		if !c.stuttering {
			c.told[host] = now
		}
	} else if now.Sub(told) > drainTime {
		c.forbiddenArrivals[target] = "request " + request + " arrived at " + target + ", which has said in its replies that it leaves"
	}
}

// recordPassedOn records the answer of a host.
func (c *traffic) recordPassedOn(request string, a *standin.Answer, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaving == "" || !a.Leaving || !strings.Contains(a.Signature, "."+c.leaving+"-") {
		return
	}
	_, host := parseID(request)
	if _, known := c.told[host]; !known {
		c.told[host] = now
	}
}

// reportLimited checks the requests that arrived at the target with a declared limit. The caller
// holds c.mu.
func (c *traffic) reportLimited(to *checker) {
	if n := c.limitedArrivals; float64(n) > limitFactor*declaredLimit*limitWindow.Seconds()+limitSlack {
		to.addViolation("target %s has declared a limit of %d per second and got %d requests in %s", c.limited, declaredLimit, n, limitWindow)
	}
}
