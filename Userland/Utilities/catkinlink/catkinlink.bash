# bash completion for catkinlink

_catkinlink_json_flags="--entry --key-file --json --help --version"

_catkinlink()
{
    local current=${COMP_WORDS[COMP_CWORD]} previous=${COMP_WORDS[COMP_CWORD - 1]}
    local first=${COMP_WORDS[1]:-} second=${COMP_WORDS[2]:-}
    local change="$_catkinlink_json_flags --reason --wait" choices=""
    case $previous in
    --base | --overlay | --against | --key-file | --body)
        mapfile -t COMPREPLY < <(compgen -f -- "$current")
        return
        ;;
    --entry | --weight-store | --reason | --wait | --ttl | --state | --expected-revision) return ;;
    esac
    if [ "$COMP_CWORD" -eq 1 ]; then
        choices="validate config diff apply status domain upstream rollout audit claims address call explain --help --version"
    elif [ "$COMP_CWORD" -eq 2 ] && [ "$first" = config ]; then
        choices="check"
    elif [ "$COMP_CWORD" -eq 2 ] && [ "$first" = rollout ]; then
        choices="start status pause resume rollback explain"
    elif [ "$COMP_CWORD" -eq 2 ] && { [ "$first" = domain ] || [ "$first" = upstream ]; }; then
        choices="out in"
    else
        case $first in
        validate) choices="--base --overlay --json --help --version" ;;
        config)
            mapfile -t COMPREPLY < <(compgen -f -- "$current"; compgen -W "--overlay --against --json --help --version" -- "$current")
            return
            ;;
        diff) choices="--base --overlay --against $_catkinlink_json_flags" ;;
        apply) choices="--base --overlay --expected-revision --force $change" ;;
        status | address) choices=$_catkinlink_json_flags ;;
        audit) choices="verify $_catkinlink_json_flags" ;;
        claims) choices="--state $_catkinlink_json_flags" ;;
        explain)
            mapfile -t COMPREPLY < <(compgen -f -- "$current")
            return
            ;;
        call) choices="--method --path --body --prompt --idempotency-key $_catkinlink_json_flags" ;;
        domain | upstream)
            choices=$change
            [ "$second" = out ] && choices="--force --emergency --ttl $change"
            ;;
        rollout)
            if [ "$second" = explain ]; then
                mapfile -t COMPREPLY < <(compgen -f -- "$current")
                return
            fi
            choices=$change
            [ "$second" = status ] && choices="--watch --wait $_catkinlink_json_flags"
            [ "$second" = start ] && choices="--model --adapter --weights-version --root --weight-store --force $change"
            ;;
        esac
    fi
    mapfile -t COMPREPLY < <(compgen -W "$choices" -- "$current")
}

complete -F _catkinlink catkinlink
