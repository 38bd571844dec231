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

// reloadInterval is how often the certificate files are looked at for a change.
const reloadInterval = 5 * time.Second

// Files are PEM files of one process: its certificate, its key and the
// authority that all processes share. Changed files take effect with the next
// connection; open connections stay.
type Files struct {
	CertFile string
	KeyFile  string
	CAFile   string
	// Now returns the time; time.Now if nil.
	Now func() time.Time

	refused expvar.Int
	mu      sync.Mutex
	read    time.Time
	cert    *tls.Certificate
	pool    *x509.CertPool
	changed time.Time
}

// Server returns the configuration of a server. A mutual one takes only clients
// with a certificate of the shared authority.
func (f *Files) Server(mutual bool) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{"h2", "http/1.1"},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, pool, err := f.load()
			if err != nil {
				return nil, err
			}
			cfg := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*cert}, NextProtos: []string{"h2", "http/1.1"}}
			if mutual {
				cfg.ClientAuth = tls.RequestClientCert
				cfg.ClientCAs = pool
				cfg.VerifyConnection = f.verifyClient
			}
			return cfg, nil
		},
	}
}

// Client returns the configuration of a client that shows its certificate and
// takes only servers with a certificate of the shared authority.
func (f *Files) Client() (*tls.Config, error) {
	if _, _, err := f.load(); err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _, err := f.load()
			return cert, err
		},
		InsecureSkipVerify: true, // VerifyConnection checks against the authority in force now.
		VerifyConnection:   f.verify,
	}, nil
}

// Refused counts the clients without a certificate of the shared authority.
func (f *Files) Refused() *expvar.Int { return &f.refused }

// verifyClient refuses and counts clients without a valid certificate.
func (f *Files) verifyClient(s tls.ConnectionState) error {
	if len(s.PeerCertificates) == 0 {
		f.refused.Add(1)
		return errors.New("client shows no certificate")
	}
	_, pool, err := f.load()
	if err != nil {
		return err
	}
	_, err = s.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: pool, Intermediates: intermediates(s), KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth},
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

func (f *Files) verify(s tls.ConnectionState) error {
	_, pool, err := f.load()
	if err != nil {
		return err
	}
	_, err = s.PeerCertificates[0].Verify(x509.VerifyOptions{Roots: pool, DNSName: s.ServerName, Intermediates: intermediates(s)})
	return err
}

// load returns the files' content, read again where a file has changed. Files
// that can't be read keep what was read before.
func (f *Files) load() (*tls.Certificate, *x509.CertPool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now
	if f.Now != nil {
		now = f.Now
	}
	if f.cert != nil && now().Sub(f.read) < reloadInterval {
		return f.cert, f.pool, nil
	}
	f.read = now()
	changed, err := f.newest()
	if err == nil && (f.cert == nil || !changed.Equal(f.changed)) {
		err = f.reload(changed)
	}
	if f.cert != nil {
		return f.cert, f.pool, nil
	}
	return nil, nil, err
}

func (f *Files) reload(changed time.Time) error {
	cert, err := tls.LoadX509KeyPair(f.CertFile, f.KeyFile)
	if err != nil {
		return errors.Wrap(err, "certificate")
	}
	pem, err := os.ReadFile(f.CAFile)
	if err != nil {
		return errors.Wrap(err, "authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return errors.Errorf("authority: %s holds no certificate", f.CAFile)
	}
	f.cert, f.pool, f.changed = &cert, pool, changed
	return nil
}

func (f *Files) newest() (time.Time, error) {
	var newest time.Time
	for _, path := range []string{f.CertFile, f.KeyFile, f.CAFile} {
		info, err := os.Stat(path)
		if err != nil {
			return newest, errors.Wrap(err, "certificate files")
		}
		if info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest, nil
}
