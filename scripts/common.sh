# Functions shared by the scripts that test a whole fleet. Sourced once the fleet is started; needs here, build, base, deployment and folder.
# Sets the fleet's addresses and sizes; tenant and revokedTenant (the tenants of the deployment's first two keys, of which the scripts
# revoke the second); route (the route of the deployment's third kind of request).
eval "$(fleet where "$folder")"
. "$here/deployments/$deployment/fleet.env"
. "$folder/overrides"
tenant=$(sed -n 's/.*"\([a-z-]*\)-key".*/\1/p' "$here/deployments/$deployment/blueprint.json" | head -1)
revokedTenant=$(sed -n 's/.*"\([a-z-]*\)-key".*/\1/p' "$here/deployments/$deployment/blueprint.json" | sed -n 2p)
route=$(sed -n 's/.*"route": "\([a-z-]*\)".*/\1/p' "$here/deployments/$deployment/kinds.json" | sed -n 3p)
now() { date +%s%N; }
ms_between() { echo $((($2 - $1) / 1000000)); }
ctl() { "$build/trouttally-ctl" "$@"; }
run_load() { # sends the deployment's kinds of request and records the outcomes; some callers retry failed requests
  "$build/trouttally-loadgen" --proxies "$TROUTTALLY_PROXIES" --kinds "$here/deployments/$deployment/kinds.json" \
    --recordFile "$folder/records/callers.json" --obey 40 --ignore 10 --move 20 "$@"
}
record_event() { # records event $1 about $2 for the audit; further arguments are flags of trouttally-audit
  "$build/trouttally-audit" --note "$1" --of "$2" "${@:3}" >>"$folder/records/events.json"
}
announce_weights() { # announces weights $2 under change id $1, retries until acknowledged, and records both for the audit
  local try answer revision naming=(--model "$MODEL" --change "$1")
  record_event naming "$2" "${naming[@]}"
  for try in $(seq 60); do
    answer=$(echo "{\"models\":{\"$MODEL\":{\"weights\":\"$2\"}},\"weights\":{\"$2\":{\"model\":\"$MODEL\"}}}" | ctl patch - --change-id "$1" 2>/dev/null) && {
      revision=$(echo "$answer" | sed -n 's/.*"revision":\([0-9]*\).*/\1/p')
      record_event named "$2" "${naming[@]}" --revision "$revision"
      return
    }
    sleep 0.5
  done
  return 1
}
audit() { # audits all records; fails on a violation
  "$build/trouttally-audit" --callers "$folder/records/callers.json" --events "$folder/records/events.json" \
    --workers "$(ls "$folder"/records/worker-*.json "$folder"/records/app.json | paste -sd,)" \
    --blueprint "$here/deployments/$deployment/blueprint.json" ${AUDIT_VERSION_MS:+--versionMs "$AUDIT_VERSION_MS"}
}
request_status() { # prints the HTTP status of a request sent to proxy $1, with key $2 if given
  curl -s -m 3 -o /dev/null -w '%{http_code}' -H "Authorization: Bearer ${2:-$tenant-secret-1}" "127.0.0.1:$((base + 400 + $1))/v1/orders" \
    -d "{\"route\":\"$route\",\"model\":\"$MODEL\",\"parts\":[\"x\"],\"maxTokens\":1}"
}
# Whether every proxy serves requests.
all_proxies_serve() { local number; for number in $(seq "$EDGES"); do [ "$(request_status "$number")" = 200 ] || return 1; done; }
# Prints the core that holds duty $1, such as accord (the leadership of the replicated log) or cell/ZONE.
duty_holder() { ctl fleet | sed -n "s|^duty     $1 \(core-[0-9]\)-.*|\1|p"; }
