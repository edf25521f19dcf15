# Completion of ibismuxctl for bash: source this file.

_ibismuxctl() {
  local kinds="query_service shard backend_server snapshot limit_policy"
  local commands="apply get delete diff watch status audit drain explain losses customers version"
  local options="--help --address --output --operator --timeout --wait
    --dry-run --if-match --since --from --limit"
  local current="${COMP_WORDS[COMP_CWORD]}"
  local previous="${COMP_WORDS[COMP_CWORD - 1]}"
  local word command="" arguments=0 skip=0
  for word in "${COMP_WORDS[@]:1:COMP_CWORD-1}"; do
    if ((skip)); then
      skip=0
      continue
    fi
    case "$word" in
      -a | --address | -o | --output | --operator | --timeout | --if-match | \
        --since | --from | --limit) skip=1 ;;
      -*) ;;
      *) if [[ -z "$command" ]]; then command="$word"; else ((++arguments)); fi ;;
    esac
  done
  case "$previous" in
    -o | --output)
      COMPREPLY=($(compgen -W "table json" -- "$current"))
      return
      ;;
    -a | --address | --operator | --timeout | --if-match | --since | --from | \
      --limit)
      COMPREPLY=()
      return
      ;;
  esac
  if [[ "$current" == -* ]]; then
    COMPREPLY=($(compgen -W "$options" -- "$current"))
  elif [[ -z "$command" ]]; then
    COMPREPLY=($(compgen -W "$commands" -- "$current"))
  elif [[ "$command" =~ ^(apply|diff|losses|customers)$ ]] ||
    [[ "$command" == explain && $arguments -gt 0 ]]; then
    COMPREPLY=($(compgen -f -- "$current"))
  elif [[ "$command" =~ ^(get|delete|status)$ && $arguments == 0 ]]; then
    COMPREPLY=($(compgen -W "$kinds" -- "$current"))
  else
    COMPREPLY=()
  fi
}

complete -F _ibismuxctl ibismuxctl
