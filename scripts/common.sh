# What the scripts that try a whole fleet share; sourced after deployment and folder are set and the fleet is started.
# Gives: the fleet's addresses and sizes, tenant, route, victim, and the functions below.
eval "$(fleet where "$folder")"
. "$here/deployments/$deployment/fleet.env"
. "$folder/overrides"
tenant=$(sed -n 's/.*"\([a-z-]*\)-key".*/\1/p' "$here/deployments/$deployment/blueprint.json" | head -1)
victim=$(sed -n 's/.*"\([a-z-]*\)-key".*/\1/p' "$here/deployments/$deployment/blueprint.json" | sed -n 2p)
route=$(sed -n 's/.*"route": "\([a-z-]*\)".*/\1/p' "$here/deployments/$deployment/kinds.json" | sed -n 3p)
now() { date +%s%N; }
ms() { echo $((($2 - $1) / 1000000)); }
ctl() { "$build/trouttally-ctl" "$@"; }
load() { # orders of the deployment's kinds, recorded, from callers who come back in every way
  "$build/trouttally-loadgen" --proxies "$TROUTTALLY_PROXIES" --kinds "$here/deployments/$deployment/kinds.json" \
    --recordFile "$folder/records/callers.json" --obey 40 --ignore 10 --move 20 "$@"
}
event() { # notes event $1 about $2 for the audit, with further flags of trouttally-audit
  "$build/trouttally-audit" --note "$1" --of "$2" "${@:3}" >>"$folder/records/events.json"
}
name_weights() { # names weights $2 under change id $1, again until that is acknowledged; notes both for the audit
  local try answer revision naming=(--model "$MODEL" --change "$1")
  event naming "$2" "${naming[@]}"
  for try in $(seq 60); do
    answer=$(echo "{\"models\":{\"$MODEL\":{\"weights\":\"$2\"}},\"weights\":{\"$2\":{\"model\":\"$MODEL\"}}}" | ctl patch - --change-id "$1" 2>/dev/null) && {
      revision=$(echo "$answer" | sed -n 's/.*"revision":\([0-9]*\).*/\1/p')
      event named "$2" "${naming[@]}" --revision "$revision"
      return
    }
    sleep 0.5
  done
  return 1
}
audit() { # joins all records; fails on a breach
  "$build/trouttally-audit" --callers "$folder/records/callers.json" --events "$folder/records/events.json" \
    --workers "$(ls "$folder"/records/worker-*.json "$folder"/records/app.json | paste -sd,)" \
    --blueprint "$here/deployments/$deployment/blueprint.json" ${AUDIT_VERSION_MS:+--versionMs "$AUDIT_VERSION_MS"}
}
status() { # what an order at proxy $1 gets, with key $2 if given
  curl -s -m 3 -o /dev/null -w '%{http_code}' -H "Authorization: Bearer ${2:-$tenant-secret-1}" "127.0.0.1:$((base + 400 + $1))/v1/orders" \
    -d "{\"route\":\"$route\",\"model\":\"$MODEL\",\"parts\":[\"x\"],\"maxTokens\":1}"
}
served() { local number; for number in $(seq "$EDGES"); do [ "$(status "$number")" = 200 ] || return 1; done; }
holder() { ctl fleet | sed -n "s|^duty     $1 \(core-[0-9]\)-.*|\1|p"; }
