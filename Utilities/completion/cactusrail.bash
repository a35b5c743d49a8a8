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
    "list sides") words="--entry --key-file --output --help" ;;
    "entry "*) words="--help" ;;
    "side "*) words="--help" ;;
    "explain "*) words="--entry --key-file --output --help" ;;
    "top "*) words="--once --entry --key-file --output --help" ;;
    "version "*) words="--output --help" ;;
    "completion "*) words="--help" ;;
  esac
  if [ "$COMP_CWORD" -eq 1 ]; then
    words="completion config create entry explain list side top version"
  elif [ "$COMP_CWORD" -eq 2 ]; then
    case "${COMP_WORDS[1]}" in
      config) words="check get keys set" ;;
      create) words="service tenant" ;;
      list) words="sides" ;;
    esac
  fi
  mapfile -t COMPREPLY < <(compgen -W "$words" -- "$word")
}
complete -o default -F _cactusrail cactusrail
