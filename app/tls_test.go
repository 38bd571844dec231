package app

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"buckthornpin/config"
	"buckthornpin/conn"
	"buckthornpin/oper"
	"buckthornpin/wire"
)

// authority signs certificates for tests.
type authority struct {
	t    *testing.T
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	cert, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	return &authority{t: t, cert: cert, key: key}
}

// write signs a certificate and writes the three TLS files of a process.
func (a *authority) write(folder string, serial int64) *conn.TLSFiles {
	a.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(a.t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "vm"}, IPAddresses: []net.IP{net.ParseIP("127.0.0.1")},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	require.NoError(a.t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	require.NoError(a.t, err)
	f := &conn.TLSFiles{CertFile: filepath.Join(folder, "cert.pem"), KeyFile: filepath.Join(folder, "key.pem"), CAFile: filepath.Join(folder, "ca.pem")}
	a.writePEM(f.CertFile, "CERTIFICATE", der)
	a.writePEM(f.KeyFile, "EC PRIVATE KEY", keyDER)
	a.writePEM(f.CAFile, "CERTIFICATE", a.cert.Raw)
	return f
}

func (a *authority) writePEM(path, kind string, der []byte) {
	a.t.Helper()
	require.NoError(a.t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
}

func newDialer(t *testing.T, f *conn.TLSFiles) *conn.Dialer {
	t.Helper()
	cfg, err := f.ClientConfig()
	require.NoError(t, err)
	return &conn.Dialer{TLS: cfg}
}

// TestTLS checks that callers, operators and the system's processes communicate
// over TLS, and that internal calls without a certificate of the shared authority
// are refused.
func TestTLS(t *testing.T) {
	a := newAuthority(t)
	folder := t.TempDir()
	files := a.write(folder, 2)
	s := startSmallSite(t, func(s *LocalSite) {
		s.ChangeSettings = func(cfg *config.Settings) {
			cfg.TLS = config.TLSSettings{Enabled: true, CertFile: files.CertFile, KeyFile: files.KeyFile, CAFile: files.CAFile}
		}
	})
	router := s.RouterProcesses()[0]

	t.Run("operators", func(t *testing.T) {
		client := &oper.Client{HTTP: newDialer(t, files).ExternalClient(), URL: "https://" + router.Settings.Operator.Address, Key: s.OperatorKey}
		status, err := client.Status(t.Context())
		require.NoError(t, err)
		require.True(t, status.Ready)
	})
	t.Run("plain calls of callers are refused", func(t *testing.T) {
		res, err := http.Get(s.URL(0) + "/v1/models")
		if err == nil {
			require.NoError(t, res.Body.Close())
			require.Equal(t, http.StatusBadRequest, res.StatusCode)
		}
	})
	t.Run("an internal call without a certificate is refused", func(t *testing.T) {
		withoutCertificate := &conn.Dialer{TLS: &tls.Config{InsecureSkipVerify: true}}
		c := wire.NewPeersClient(withoutCertificate.InternalClient(), "https://"+router.Settings.Peer.Address)
		_, err := c.Exchange(t.Context(), &wire.ExchangeRequest{})
		require.Error(t, err)
	})
	t.Run("an internal call of another authority is refused", func(t *testing.T) {
		other := newAuthority(t).write(t.TempDir(), 9)
		cfg, err := other.ClientConfig()
		require.NoError(t, err)
		cfg.VerifyConnection = nil
		c := wire.NewPeersClient((&conn.Dialer{TLS: cfg}).InternalClient(), "https://"+router.Settings.Peer.Address)
		_, err = c.Exchange(t.Context(), &wire.ExchangeRequest{})
		require.Error(t, err)
	})
	t.Run("refused calls are counted", func(t *testing.T) {
		require.Positive(t, router.tlsFiles.Refused().Value())
	})
}

// TestChangedCertificateIsReloaded checks that changed files apply to new
// connections, and that the last certificate stays in use when the files can't be
// read.
func TestChangedCertificateIsReloaded(t *testing.T) {
	a := newAuthority(t)
	folder := t.TempDir()
	files := a.write(folder, 2)
	now := time.Now()
	files.Now = func() time.Time { return now }
	serial := func() int64 {
		cfg, err := files.ServerConfig(false).GetConfigForClient(nil)
		require.NoError(t, err)
		cert, err := x509.ParseCertificate(cfg.Certificates[0].Certificate[0])
		require.NoError(t, err)
		return cert.SerialNumber.Int64()
	}
	require.Equal(t, int64(2), serial())
	a.write(folder, 3)
	later := time.Now().Add(time.Minute)
	require.NoError(t, os.Chtimes(files.CertFile, later, later))
	now = now.Add(time.Minute)
	require.Equal(t, int64(3), serial())
	require.NoError(t, os.Remove(files.KeyFile))
	now = now.Add(time.Minute)
	require.Equal(t, int64(3), serial())
}
