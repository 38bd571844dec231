package conn

import (
	"crypto/tls"
	"crypto/x509"
	"expvar"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// reloadInterval is the shortest time between two checks of the certificate files for a
// change.
const reloadInterval = 5 * time.Second

// TLSFiles names the PEM files of one process: its certificate, its key and the
// certificate authority that all processes share. Changed files apply to new
// connections. Open connections are kept.
type TLSFiles struct {
	CertFile string
	KeyFile  string
	CAFile   string
	// Now returns the time. If nil, time.Now is used.
	Now func() time.Time

	refused     expvar.Int
	mu          sync.Mutex
	checkedAt   time.Time
	cert        *tls.Certificate
	authorities *x509.CertPool
	modifiedAt  time.Time
}

// ServerConfig returns the TLS configuration of a server. If mutual is set, the server
// accepts only clients with a certificate of the shared authority.
func (f *TLSFiles) ServerConfig(mutual bool) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{"h2", "http/1.1"},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, authorities, err := f.load()
			if err != nil {
				return nil, err
			}
			cfg := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*cert}, NextProtos: []string{"h2", "http/1.1"}}
			if mutual {
				cfg.ClientAuth = tls.RequestClientCert
				cfg.ClientCAs = authorities
				cfg.VerifyConnection = f.verifyClient
			}
			return cfg, nil
		},
	}
}

// ClientConfig returns the TLS configuration of a client that presents its certificate
// and accepts only servers with a certificate of the shared authority.
func (f *TLSFiles) ClientConfig() (*tls.Config, error) {
	if _, _, err := f.load(); err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _, err := f.load()
			return cert, err
		},
		InsecureSkipVerify: true, // VerifyConnection verifies with the current authority.
		VerifyConnection:   f.verifyServer,
	}, nil
}

// Refused returns the counter of clients that were refused for the lack of a valid
// certificate of the shared authority.
func (f *TLSFiles) Refused() *expvar.Int { return &f.refused }

// verifyClient refuses and counts clients without a valid certificate.
func (f *TLSFiles) verifyClient(s tls.ConnectionState) error {
	if len(s.PeerCertificates) == 0 {
		f.refused.Add(1)
		return errors.New("client presented no certificate")
	}
	_, authorities, err := f.load()
	if err != nil {
		return err
	}
	_, err = s.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: authorities, Intermediates: intermediates(s), KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth},
	})
	if err != nil {
		f.refused.Add(1)
	}
	return err
}

func intermediates(s tls.ConnectionState) *x509.CertPool {
	pool := x509.NewCertPool()
	for _, c := range s.PeerCertificates[1:] {
		pool.AddCert(c)
	}
	return pool
}

func (f *TLSFiles) verifyServer(s tls.ConnectionState) error {
	_, authorities, err := f.load()
	if err != nil {
		return err
	}
	_, err = s.PeerCertificates[0].Verify(x509.VerifyOptions{Roots: authorities, DNSName: s.ServerName, Intermediates: intermediates(s)})
	return err
}

// load returns the certificate and the authorities, and reads the files again if one
// has changed. If the files cannot be read, what was read before stays in use.
func (f *TLSFiles) load() (*tls.Certificate, *x509.CertPool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now
	if f.Now != nil {
		now = f.Now
	}
	if f.cert != nil && now().Sub(f.checkedAt) < reloadInterval {
		return f.cert, f.authorities, nil
	}
	f.checkedAt = now()
	modifiedAt, err := f.lastModified()
	if err == nil && (f.cert == nil || !modifiedAt.Equal(f.modifiedAt)) {
		err = f.reload(modifiedAt)
	}
	if f.cert != nil {
		return f.cert, f.authorities, nil
	}
	return nil, nil, err
}

func (f *TLSFiles) reload(modifiedAt time.Time) error {
	cert, err := tls.LoadX509KeyPair(f.CertFile, f.KeyFile)
	if err != nil {
		return errors.Wrap(err, "certificate")
	}
	pem, err := os.ReadFile(f.CAFile)
	if err != nil {
		return errors.Wrap(err, "authority")
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(pem) {
		return errors.Errorf("authority: %s contains no certificate", f.CAFile)
	}
	f.cert, f.authorities, f.modifiedAt = &cert, authorities, modifiedAt
	return nil
}

func (f *TLSFiles) lastModified() (time.Time, error) {
	var latest time.Time
	for _, path := range []string{f.CertFile, f.KeyFile, f.CAFile} {
		info, err := os.Stat(path)
		if err != nil {
			return latest, errors.Wrap(err, "read certificate files")
		}
		if info.ModTime().After(latest) {
			latest = info.ModTime()
		}
	}
	return latest, nil
}
