package trial

import (
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"hyssophub/codec"
	"hyssophub/config"
)

// Each trial has its own test, so that KNOWN-RED.txt can name it. A trial fails
// if the product misses a target in its script; the targets are those of
// section 13 of the design page.

func TestTrialStraggler(t *testing.T) { runTrial(t, "straggler") }

func TestTrialUrgent(t *testing.T) { runTrial(t, "urgent") }

func TestTrialIndexswap(t *testing.T) { runTrial(t, "indexswap") }

func TestTrialLeave(t *testing.T) { runTrial(t, "leave") }

func TestTrialColdstart(t *testing.T) { runTrial(t, "coldstart") }

func TestTrialStop(t *testing.T) { runTrial(t, "stop") }

func TestTrialTakeover(t *testing.T) { runTrial(t, "takeover") }

func TestTrialCutoff(t *testing.T) { runTrial(t, "cutoff") }

func TestTrialStoreout(t *testing.T) { runTrial(t, "storeout") }

func TestTrialRace(t *testing.T) { runTrial(t, "race") }

func TestTrialZoneout(t *testing.T) { runTrial(t, "zoneout") }

func TestTrialZonein(t *testing.T) { runTrial(t, "zonein") }

func TestTrialOnce(t *testing.T) { runTrial(t, "once") }

func TestTrialFaults(t *testing.T) { runTrial(t, "faults") }

// runTrial runs a script for both deployments and both policies. Only the
// product must meet the targets.
func runTrial(t *testing.T, name string) {
	t.Parallel()
	text, err := os.ReadFile(filepath.Join("testdata", name+".txt"))
	require.NoError(t, err)
	script, err := Parse(name, string(text))
	require.NoError(t, err)
	for _, deployment := range []string{"skane", "capbon"} {
		manifest := readManifest(t, deployment)
		for _, policy := range []string{PolicyProduct, PolicyBaseline} {
			t.Run(deployment+"/"+policy, func(t *testing.T) {
				t.Parallel()
				var r Result
				synctest.Test(t, func(*testing.T) { r = Run(script, manifest, policy) })
				t.Log(r)
				t.Logf("figures of %s/%s %s: %v", name, deployment, policy, r.Figures)
				if policy != PolicyProduct {
					return
				}
				for _, missed := range r.MissedTargets(script.Targets) {
					t.Error(missed)
				}
			})
		}
	}
}

func readManifest(t *testing.T, deployment string) config.Manifest {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("..", "examples", deployment+".json"))
	require.NoError(t, err)
	manifest, err := codec.DecodeManifest(data)
	require.NoError(t, err)
	return manifest
}
