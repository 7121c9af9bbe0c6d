#!/bin/bash
# Opens 10,000 idle connections, sends a 300 MB body and endless headers to an entry node, and prints
# the memory of the node's process before and after. Needs the release build, python3, and a limit
# of at least 12,000 open files.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/cluster.sh
d=$(mktemp -d)
trap 'stop_cluster; rm -rf "$d"' EXIT
start_cluster "$d"
for ((i = 0; i < 100; ++i)); do ctl status >/dev/null 2>&1 && break; sleep 0.1; done
ctl --yes apply -f "$d/declaration.yaml" >/dev/null; wait_ready
pid=${NODE_PIDS[0]}
rss() { grep -E "VmRSS|VmHWM" /proc/$pid/status | tr '\n' ' '; echo; }
echo "start: $(rss)"
python3 - $(callers_port 0) <<'PY'
import socket,sys,time
port=int(sys.argv[1])
def conn():
    s=socket.socket(); s.settimeout(5); s.connect(('127.0.0.1',port)); return s
socks=[];refused=0
for i in range(10000):
    try: s=conn(); socks.append(s)
    except Exception as e: refused+=1
time.sleep(1)
alive=0
for s in socks:
    s.setblocking(False)
    try:
        if s.recv(1)==b'': pass
    except BlockingIOError: alive+=1
    except Exception: pass
print("idle connections opened",len(socks),"still open",alive,"refused",refused)
for s in socks: s.close()
time.sleep(1)
s=conn(); s.sendall(b"POST /v1/fronts/accessions/query HTTP/1.1\r\nHost: h\r\nContent-Length: 314572800\r\n\r\n")
sent=0
try:
    for i in range(300): s.sendall(b'x'*1048576); sent+=1
except Exception as e: pass
try: print("300 MB body:", s.recv(100)[:30], "MB sent", sent)
except Exception as e: print("300 MB body: closed", e, "MB sent", sent)
s=conn(); s.sendall(b"POST /v1/fronts/accessions/query HTTP/1.1\r\nHost: h\r\n"); sent=0
try:
    for i in range(200): s.sendall((b'X-A: '+b'y'*1000+b'\r\n')*1000); sent+=1
except Exception as e: pass
try: print("endless headers:", s.recv(100)[:30], "MB sent", sent)
except Exception as e: print("endless headers: closed", e, "MB sent", sent)
PY
echo "after: $(rss)"
