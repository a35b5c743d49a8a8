# bash completion for cactusrail; written by 'cactusrail completion'.
_cactusrail()
{
  local word=${COMP_WORDS[COMP_CWORD]}
  local verb="${COMP_WORDS[1]} ${COMP_WORDS[2]}"
  local words=""
  case "$verb" in
    "config check") words="--output --help" ;;
    "config keys") words="--output --help" ;;
    "config get") words="--entry --key-file --output --help" ;;
    "config set") words="--dry-run --entry --key-file --output --help" ;;
    "create tenant") words="--share --quota-millicpus --dry-run --entry --key-file --output --help" ;;
    "create service") words="--idempotent --timeout-ms --label --dry-run --entry --key-file --output --help" ;;
    "create job") words="--tenant --program --kind --tasks --milli-cpus --memory-mb --accelerators --run-ms --idempotent --label --operation --dry-run --entry --key-file --output --help" ;;
    "list jobs") words="--entry --key-file --output --help" ;;
    "inspect job") words="--entry --key-file --output --help" ;;
    "list sides") words="--entry --key-file --output --help" ;;
    "entry "*) words="--help" ;;
    "side "*) words="--help" ;;
    "fleet-entry "*) words="--help" ;;
    "fleet-side "*) words="--help" ;;
    "pause "*) words="--yes --dry-run --operation --wait --entry --key-file --output --help" ;;
    "resume "*) words="--yes --dry-run --operation --wait --entry --key-file --output --help" ;;
    "drain "*) words="--yes --dry-run --operation --wait --entry --key-file --output --help" ;;
    "stop "*) words="--yes --dry-run --operation --wait --entry --key-file --output --help" ;;
    "cancel "*) words="--yes --dry-run --operation --wait --entry --key-file --output --help" ;;
    "explain "*) words="--entry --key-file --output --help" ;;
    "top "*) words="--once --entry --key-file --output --help" ;;
    "profile "*) words="--help" ;;
    "version "*) words="--output --help" ;;
    "completion "*) words="--help" ;;
  esac
  if [ "$COMP_CWORD" -eq 1 ]; then
    words="cancel completion config create drain entry explain fleet-entry fleet-side inspect list pause profile resume side stop top version"
  elif [ "$COMP_CWORD" -eq 2 ]; then
    case "${COMP_WORDS[1]}" in
      config) words="check get keys set" ;;
      create) words="job service tenant" ;;
      list) words="jobs sides" ;;
      inspect) words="job" ;;
    esac
  fi
  mapfile -t COMPREPLY < <(compgen -W "$words" -- "$word")
}
complete -o default -F _cactusrail cactusrail
