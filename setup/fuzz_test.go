package setup

import "testing"

// FuzzRelay guards against settings files that make the decoder panic, and against
// accepted ones that lack an address.
func FuzzRelay(f *testing.F) {
	f.Add([]byte(`{"name":"a","zone":"z","front":"127.0.0.1:1","ready":"127.0.0.1:2","peer":"127.0.0.1:3","stats":"127.0.0.1:4","beat":"127.0.0.1:5","store":"127.0.0.1:6","cores":0.4,"memory":184}`))
	f.Add([]byte(`{"name":null,"seeds":[1]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		settings, err := DecodeRelay(data)
		if err == nil && (settings.ClientAddr == "" || settings.StoreAddr == "" || settings.Stop.Grace <= 0 || settings.Budget.Window <= 0) {
			t.Fatalf("unusable settings accepted: %+v", settings)
		}
	})
}
